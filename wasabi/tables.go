package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"

	"github.com/go-faster/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"wasabidock.dev/dock/table"
)

// load reads a table from files and prints its faults.
func (a *app) load(revision uint64, names []string) (*table.Table, error) {
	if len(names) == 0 {
		return nil, usageError("no files given")
	}
	var files []table.File
	for _, name := range names {
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, &exitError{code: exitUsage, err: err}
		}
		files = append(files, table.File{Name: name, Data: data})
	}
	t, faults := table.Parse(revision, files)
	for _, f := range faults {
		a.printf("%s\n", f)
	}
	if len(faults) > 0 {
		return nil, &exitError{code: exitFaults, err: errors.Errorf("%d faults", len(faults))}
	}
	return t, nil
}

func (a *app) check() *ffcli.Command {
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "wasabi check FILE...",
		ShortHelp:  "tell all faults of a table",
		LongHelp:   "Reads the files as one table and prints each fault with file, row, column and reason.",
		FlagSet:    a.flags("check"),
		Exec: func(_ context.Context, args []string) error {
			t, err := a.load(1, args)
			if err != nil {
				return err
			}
			for _, w := range table.Warnings(t, t) {
				a.printf("warning: %s\n", w)
			}
			a.printf("ok: %d customers, %d seats, %d servers, %d routes\n",
				len(t.Customers()), len(t.Seats()), len(t.Servers()), len(t.Routes()))
			return nil
		},
	}
}

func (a *app) diff() *ffcli.Command {
	return &ffcli.Command{
		Name:       "diff",
		ShortUsage: "wasabi diff OLD NEW",
		ShortHelp:  "tell what a change would do",
		LongHelp: "Compares two tables and prints each row that changes and what to know before the change is published.\n" +
			"OLD and NEW are files, or several files each, separated by commas.",
		FlagSet: a.flags("diff"),
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 2 {
				return usageError("diff takes two tables, got %d", len(args))
			}
			from, err := a.load(1, strings.Split(args[0], ","))
			if err != nil {
				return err
			}
			to, err := a.load(2, strings.Split(args[1], ","))
			if err != nil {
				return err
			}
			a.printDiff(from, to)
			return nil
		},
	}
}

func (a *app) printDiff(from, to *table.Table) {
	changes := table.Diff(from, to)
	for _, c := range changes {
		a.printf("%s\n", c)
	}
	for _, w := range table.Warnings(from, to) {
		a.printf("warning: %s\n", w)
	}
	if len(changes) == 0 {
		a.printf("no change\n")
	}
}

func (a *app) pack() *ffcli.Command {
	fs := a.flags("pack")
	revision := fs.Uint64("revision", 0, "revision of the table, larger than all published before")
	out := fs.String("out", "", "directory to write the values to")
	return &ffcli.Command{
		Name:       "pack",
		ShortUsage: "wasabi pack -revision N -out DIR FILE...",
		ShortHelp:  "write a table as values to publish",
		LongHelp: "Checks a table and writes its parts and its head as files whose paths are the names of the values.\n" +
			"Publish the parts first and the head last.",
		FlagSet: fs,
		Exec: func(_ context.Context, args []string) error {
			if *revision == 0 || *out == "" {
				return usageError("pack needs -revision and -out")
			}
			t, err := a.load(*revision, args)
			if err != nil {
				return err
			}
			return a.write(t, *out)
		},
	}
}

// write writes the parts of a table, then its head.
func (a *app) write(t *table.Table, dir string) error {
	head, parts := t.Split()
	for i, p := range head.Parts {
		if err := a.writeValue(dir, p.Name(), parts[i]); err != nil {
			return err
		}
	}
	return a.writeValue(dir, table.HeadName, head.Encode())
}

const (
	dirMode  = 0o755
	fileMode = 0o644
)

func (a *app) writeValue(dir, name string, data []byte) error {
	path := filepath.Join(dir, filepath.FromSlash(name))
	if err := os.MkdirAll(filepath.Dir(path), dirMode); err != nil {
		return &exitError{code: exitUsage, err: err}
	}
	if err := os.WriteFile(path, data, fileMode); err != nil {
		return &exitError{code: exitUsage, err: err}
	}
	a.printf("%s\n", path)
	return nil
}

func (a *app) key() *ffcli.Command {
	return &ffcli.Command{
		Name:       "key",
		ShortUsage: "wasabi key",
		ShortHelp:  "make a key and its hash",
		LongHelp: "Prints a new key, which goes to the customer and is stored nowhere, and its hash, which goes into\n" +
			"a key row of the table.",
		FlagSet: a.flags("key"),
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return usageError("key takes no arguments")
			}
			key, sum, err := table.NewKey(a.random)
			if err != nil {
				return &exitError{code: exitFaults, err: err}
			}
			a.printf("key   %s\nhash  %s\n", key, table.FormatSum(sum))
			return nil
		},
	}
}
