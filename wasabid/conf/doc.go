// Package conf holds the daemon's settings: flags, environment variables and
// their checks.
//
// # Usage
//
//	cfg, err := conf.Parse(os.Args[1:], os.Environ(), os.Stderr)
//	if err != nil {
//		// err lists every fault, one a line
//	}
//
// Each flag -some-name has an environment variable WASABI_SOME_NAME; a flag
// goes before its variable. PEM settings take either the path of a file or the
// PEM text itself, since instances may have no disks.
package conf
