// Command rhubarbrelay is the operators' command-line tool.
package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"

	"rhubarbrelay/admin"
	"rhubarbrelay/commands"

	"github.com/alexflint/go-arg"
)

type publishArgs struct {
	File string `arg:"positional,required" help:"document with the services"`
}

type args struct {
	Admin   string       `arg:"--admin,env:RHUBARBRELAY_ADMIN" help:"address of an instance's administration API"`
	Publish *publishArgs `arg:"subcommand:publish" help:"publish services"`
	Load    *loadArgs    `arg:"subcommand:load" help:"load and experiment tool"`
}

func main() {
	var a args
	p := arg.MustParse(&a)
	var err error
	switch {
	case a.Load != nil:
		err = runLoad(context.Background(), a.Load)
	case a.Publish != nil:
		address, parseErr := netip.ParseAddrPort(a.Admin)
		if parseErr != nil {
			p.Fail(parseErr.Error())
		}
		cmd := &commands.Publish{Client: admin.NewClient(address), Author: os.Getenv("USER"), Out: os.Stdout}
		err = cmd.Run(context.Background(), a.Publish.File)
	default:
		p.Fail("a command is needed")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "rhubarbrelay:", err)
		os.Exit(1)
	}
}
