package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"wasabidock.dev/dock/plat"
)

func listCommand() *ffcli.Command {
	fs := flag.NewFlagSet("standin list", flag.ContinueOnError)
	url := fs.String("platform", "", "`URL` of the platform's stand-in")
	return &ffcli.Command{
		Name:       "list",
		ShortUsage: "standin list -platform URL NAME=CENTRE=ADDRESS…",
		ShortHelp:  "Publishes the list of instances.",
		FlagSet:    fs,
		Exec: func(ctx context.Context, args []string) error {
			return publishList(ctx, *url, args)
		},
	}
}

func publishList(ctx context.Context, url string, args []string) error {
	list := make([]plat.Instance, 0, len(args))
	for _, a := range args {
		name, centre, addr, ok := instanceOf(a)
		if !ok {
			return errors.Errorf("%q is not NAME=CENTRE=ADDRESS", a)
		}
		list = append(list, plat.Instance{Instance: name, Centre: centre, Address: addr, State: "live"})
	}
	data, err := json.Marshal(list)
	if err != nil {
		return errors.Wrap(err, "encode the list")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/control/value/"+plat.InstancesName, bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "publish the list")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "publish the list")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusBadRequest {
		return errors.Errorf("publish the list: status %d", resp.StatusCode)
	}
	return nil
}
