// Package peer connects the instances of one deployment.
package peer
