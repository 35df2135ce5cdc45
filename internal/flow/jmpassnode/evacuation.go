package jmpassnode

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jasminemoor/jasminemoor/internal/flow/jmpass"
)

// logEvacuations logs the evacuations that begin or end with a snapshot, and what those
// that are in force leave of each service. Old is nil for the first one.
func (c *Control) logEvacuations(old, next *jmpass.Snapshot) {
	var before []string
	if old != nil {
		before = old.Evacuated
	}
	fields := func(name string) logrus.Fields {
		return logrus.Fields{"DataCentre": name, fieldEra: next.Revision.Era(), fieldRevision: next.Revision.Change(), fieldAge: time.Since(next.AsOf).Milliseconds()}
	}
	hasChanged := false
	for _, name := range next.Evacuated {
		if !slices.Contains(before, name) {
			hasChanged = true
			c.Log.WithFields(fields(name)).Info("directory: evacuation began")
		}
	}
	for _, name := range before {
		if !slices.Contains(next.Evacuated, name) {
			hasChanged = true
			c.Log.WithFields(fields(name)).Info("directory: evacuation ended")
		}
	}
	if !hasChanged {
		return
	}
	for _, l := range next.EvacuationLoads() {
		line := c.Log.WithFields(logrus.Fields{"Service": l.Service, "Slots": l.Slots, "SlotsLeft": l.SlotsLeft})
		if l.SlotsLeft == 0 && l.Slots > 0 {
			line.Warn("directory: all upstreams are evacuated, new flows are refused")
			continue
		}
		line.Info("directory: slots left by the evacuations")
	}
}
