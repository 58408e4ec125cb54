package main

import (
	"flag"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
)

const undefinedFlag = "flag provided but not defined: -"

// suggestFlag completes the message about an unknown flag.
func suggestFlag(root *ffcli.Command, args []string, message string) string {
	_, name, ok := strings.Cut(message, undefinedFlag)
	if !ok {
		return message
	}
	var names []string
	c := selected(root, args)
	c.FlagSet.VisitAll(func(f *flag.Flag) { names = append(names, f.Name) })
	return c.Name + ": unknown flag -" + name + didYouMean(name, names)
}

// selected returns the subcommand that the arguments name, or the root.
func selected(root *ffcli.Command, args []string) *ffcli.Command {
	for _, arg := range args {
		for _, c := range root.Subcommands {
			if c.Name == arg {
				return c
			}
		}
	}
	return root
}

// didYouMean returns a hint at the nearest of the names, if one is near.
func didYouMean(got string, names []string) string {
	best, distance := "", len(got)/2+1
	for _, n := range names {
		if d := editDistance(got, n); d < distance || strings.HasPrefix(n, got) && best == "" {
			best, distance = n, min(d, distance)
		}
	}
	if best == "" {
		return ""
	}
	return "; did you mean " + best + "?"
}

// editDistance returns the number of bytes to insert, remove or replace.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost = 1 + min(diagonal, row[j], row[j+1])
			}
			diagonal, row[j+1] = row[j+1], cost
		}
	}
	return row[len(b)]
}
