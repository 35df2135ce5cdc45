package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"
)

const maxKeyBytes = 64

func keyCommand(t *terminal) *ffcli.Command {
	flags := newFlagSet(t, "key")
	size := flags.Int("bytes", 16, "size of the key: 16 for ConnectionID and Datagram, 32 for Control and Reset")
	return &ffcli.Command{
		Name:      "key",
		ShortHelp: "Print a new random key for the settings, in hexadecimal.",
		FlagSet:   flags,
		Exec: func(context.Context, []string) error {
			if *size < 1 || *size > maxKeyBytes {
				return &exitError{code: exitUsage, text: fmt.Sprintf("-bytes is not between 1 and %d", maxKeyBytes)}
			}
			key := make([]byte, *size)
			_, _ = rand.Read(key) // never fails on supported systems
			_, err := fmt.Fprintln(t.out, hex.EncodeToString(key))
			return err
		},
	}
}
