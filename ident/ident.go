// Package ident defines the types of the names and identifiers of customers, machines and requests,
// and the outcome of a call.
//
// # Usage
//
//	n := ident.Node{Instance: "sierra-a-1", Incarnation: 7}
//	a := ident.Attempt{Node: n, Serial: 42}
//	s := a.String() // "sierra-a-1.7.42"
//
// An Attempt is never reused: a process gets a new incarnation when it starts and numbers its
// attempts from one.
//
// All types are plain values without locking.
package ident

import (
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

type (
	// Customer is the name of a customer in the configuration.
	Customer string
	// Instance is the name of a router instance in the configuration. One process at a time holds
	// it.
	Instance string
	// Server is the name of a backend server.
	Server string
	// Centre is the name of a data centre.
	Centre string
	// Region is the name of a region.
	Region string
	// Model is the name of a model.
	Model string
	// Class is the name of a latency class.
	Class string
	// Route is the name of a route to a service that serves no models.
	Route string
	// Request is the identifier of a request that is sent to its caller.
	Request string
)

// Node identifies one process of an instance. The incarnation differs in each process.
type Node struct {
	Instance    Instance
	Incarnation uint64
}

// String returns "instance.incarnation".
func (n Node) String() string {
	return string(n.Instance) + "." + strconv.FormatUint(n.Incarnation, 10)
}

// Attempt identifies one attempt to run a request at a backend server.
type Attempt struct {
	Node   Node
	Serial uint64
}

// String returns "instance.incarnation.serial".
func (a Attempt) String() string {
	return a.Node.String() + "." + strconv.FormatUint(a.Serial, 10)
}

// ErrInvalidAttempt reports a string that is not the text form of an Attempt.
var ErrInvalidAttempt = errors.New("not an attempt")

// ParseAttempt is the inverse of Attempt.String. For any other text it returns an error that wraps
// ErrInvalidAttempt.
func ParseAttempt(s string) (Attempt, error) {
	rest, serial, ok := cutLast(s)
	if !ok {
		return Attempt{}, errors.Wrapf(ErrInvalidAttempt, "%q", s)
	}
	name, inc, ok := cutLast(rest)
	if !ok || name == "" {
		return Attempt{}, errors.Wrapf(ErrInvalidAttempt, "%q", s)
	}
	n, err := strconv.ParseUint(serial, 10, 64)
	if err != nil {
		return Attempt{}, errors.Wrapf(ErrInvalidAttempt, "%q", s)
	}
	i, err := strconv.ParseUint(inc, 10, 64)
	if err != nil {
		return Attempt{}, errors.Wrapf(ErrInvalidAttempt, "%q", s)
	}
	return Attempt{Node: Node{Instance: Instance(name), Incarnation: i}, Serial: n}, nil
}

func cutLast(s string) (before, after string, found bool) {
	i := strings.LastIndexByte(s, '.')
	if i < 0 {
		return "", "", false
	}
	return s[:i], s[i+1:], true
}
