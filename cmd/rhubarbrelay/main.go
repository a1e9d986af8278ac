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
	Admin   string       `arg:"--admin,env:RHUBARBRELAY_ADMIN,required" help:"address of an instance's administration API"`
	Publish *publishArgs `arg:"subcommand:publish" help:"publish services"`
}

func main() {
	var a args
	p := arg.MustParse(&a)
	address, err := netip.ParseAddrPort(a.Admin)
	if err != nil {
		p.Fail(err.Error())
	}
	switch {
	case a.Publish != nil:
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
