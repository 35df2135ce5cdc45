package main

import (
	"encoding/hex"
	"flag"
	"io"
	"net/netip"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/jasminemoor/jasminemoor/internal/wire/jmdatagram"
)

// addrPortFlag adds a flag whose value is an IP address and a port.
func addrPortFlag(flags *flag.FlagSet, name, usage string) *netip.AddrPort {
	value := new(netip.AddrPort)
	flags.Func(name, usage, func(text string) (err error) {
		*value, err = netip.ParseAddrPort(text)
		return err
	})
	return value
}

// addrPortsFlag adds a flag whose value is a comma-separated list of IP addresses
// with ports.
func addrPortsFlag(flags *flag.FlagSet, name, usage string) *[]netip.AddrPort {
	values := new([]netip.AddrPort)
	flags.Func(name, usage, func(text string) error {
		*values = nil
		for _, each := range strings.Split(text, ",") {
			value, err := netip.ParseAddrPort(strings.TrimSpace(each))
			if err != nil {
				return err
			}
			*values = append(*values, value)
		}
		return nil
	})
	return values
}

// controlKeyFlag adds the flag whose value is a control key in hexadecimal. The
// key is nil if the flag is not given.
func controlKeyFlag(flags *flag.FlagSet) **jmdatagram.ControlKey {
	value := new(*jmdatagram.ControlKey)
	usage := "control key in hexadecimal, to ask -peers before any settings are known"
	flags.Func("control-key", usage, func(text string) error {
		raw, err := hex.DecodeString(text)
		if err != nil || len(raw) != len(jmdatagram.ControlKey{}) {
			return eris.Errorf("a control key is %d bytes in hexadecimal", len(jmdatagram.ControlKey{}))
		}
		key := jmdatagram.ControlKey(raw)
		*value = &key
		return nil
	})
	return value
}

// configFlag adds the flag that names the file which parseOptions reads.
func configFlag(flags *flag.FlagSet) {
	flags.String("config", "", "file with flags, JSON with comments")
}

// logTime is the format of times in JSON logs, with milliseconds.
const logTime = "2006-01-02T15:04:05.000Z07:00"

// logFlags are the flags for the log.
type logFlags struct {
	format, level string
}

func (f *logFlags) add(flags *flag.FlagSet, level string) {
	flags.StringVar(&f.format, "log-format", "text", "format of the log: text or json")
	flags.StringVar(&f.level, "log-level", level, "lowest level to log: debug, info, warning or error")
}

func (f *logFlags) logger(w io.Writer) (log *logrus.Logger, err error) {
	log = logrus.New()
	log.SetOutput(w)
	switch f.format {
	case "json":
		log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: logTime})
	case "text":
		log.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, DisableColors: true})
	default:
		return nil, &exitError{code: exitUsage, text: "log-format is neither text nor json"}
	}
	level, err := logrus.ParseLevel(f.level)
	if err != nil {
		return nil, &exitError{code: exitUsage, text: err.Error()}
	}
	log.SetLevel(level)
	return log, nil
}

// ipFlag adds a flag whose value is an IP address.
func ipFlag(flags *flag.FlagSet, name, usage string) *netip.Addr {
	value := new(netip.Addr)
	flags.Func(name, usage, func(text string) (err error) {
		*value, err = netip.ParseAddr(text)
		return err
	})
	return value
}
