package jmpassnode

import "github.com/jasminemoor/jasminemoor/internal/flow/jmpass"

// logUnnamed logs the entries that a snapshot leaves out, since the configuration does not name
// their service, once each. Old is nil for the first one.
func (c *Control) logUnnamed(old, next *jmpass.Snapshot) {
	for key, service := range next.Unnamed {
		if old != nil && old.Unnamed[key] == service {
			continue
		}
		c.Log.WithField("Key", key).WithField("Service", service).Warn("directory: entry is left out, the configuration does not name its service")
	}
}
