package jmpassnode

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jasminemoor/jasminemoor/internal/load/jmoverload"
)

// PartyLoad is the load of the requests of one route and client account at an agent.
type PartyLoad struct {
	Route   string
	Account string `json:",omitempty"`
	// Waiting is how many requests wait, and LongestMs how long the first of them has.
	Waiting   int   `json:",omitempty"`
	LongestMs int64 `json:",omitempty"`
	// The others count the requests that have waited, or whose flow was refused.
	InTime  uint64 `json:",omitempty"`
	Late    uint64 `json:",omitempty"`
	GivenUp uint64 `json:",omitempty"`
	Refused uint64 `json:",omitempty"`
}

// Load returns the load of each route and client account whose requests have waited or
// were refused, in the order of their names, and whether there is an overload.
func (a *Agent) Load(now time.Time) (load []PartyLoad, isOverload bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	byParty := make(map[jmoverload.Party]PartyLoad)
	for party, tally := range a.machine.Outcomes() {
		byParty[party] = a.partyLoad(party, tally)
	}
	for party, w := range a.machine.Waiting(now) {
		l, found := byParty[party]
		if !found {
			l = a.partyLoad(party, jmoverload.Tally{})
		}
		l.Waiting, l.LongestMs = w.Requests, w.Longest.Milliseconds()
		byParty[party] = l
	}
	load = slices.AppendSeq(load, maps.Values(byParty))
	slices.SortFunc(load, func(x, y PartyLoad) int {
		return cmp.Or(cmp.Compare(x.Route, y.Route), cmp.Compare(x.Account, y.Account))
	})
	return load, a.machine.IsOverloaded()
}

func (a *Agent) partyLoad(p jmoverload.Party, t jmoverload.Tally) PartyLoad {
	return PartyLoad{
		Route: a.routeName(p.Route), Account: p.Account,
		InTime: t[jmoverload.InTime], Late: t[jmoverload.Late], GivenUp: t[jmoverload.GivenUp], Refused: t[jmoverload.Refused],
	}
}

// maxLoggedParties bounds the parties in a log line.
const maxLoggedParties = 4

// logOverload logs the beginning of an overload with the parties that wait most, and its
// end with what became of the requests of the parties that had most of them.
func (a *Agent) logOverload(episode *jmoverload.Episode) {
	if episode == nil {
		a.logOverloadBegan()
		return
	}
	var parties []PartyLoad
	var all jmoverload.Tally
	for party, tally := range episode.Tallies {
		parties = append(parties, a.partyLoad(party, tally))
		for i := range tally {
			all[i] += tally[i]
		}
	}
	requests := func(p PartyLoad) uint64 { return p.InTime + p.Late + p.GivenUp + p.Refused }
	slices.SortFunc(parties, func(x, y PartyLoad) int { return cmp.Compare(requests(y), requests(x)) })
	a.Log.WithFields(logrus.Fields{
		"LastedMs": episode.Lasted.Milliseconds(), "MostWaiting": episode.MostWaiting, "InTime": all[jmoverload.InTime],
		"Late": all[jmoverload.Late], "GivenUp": all[jmoverload.GivenUp], "Refused": all[jmoverload.Refused],
		"Parties": parties[:min(len(parties), maxLoggedParties)],
	}).Warn("upstream: overload ended")
}

func (a *Agent) logOverloadBegan() {
	byParty, waiting := a.machine.Waiting(time.Now()), 0
	parties := make([]PartyLoad, 0, len(byParty))
	for party, w := range byParty {
		l := a.partyLoad(party, jmoverload.Tally{})
		l.Waiting, l.LongestMs = w.Requests, w.Longest.Milliseconds()
		waiting += w.Requests
		parties = append(parties, l)
	}
	slices.SortFunc(parties, func(x, y PartyLoad) int { return cmp.Compare(y.Waiting, x.Waiting) })
	_, inFlight := a.machine.Flows()
	a.Log.WithFields(logrus.Fields{
		"Waiting": waiting, "InFlight": inFlight, "Parties": parties[:min(len(parties), maxLoggedParties)],
	}).Warn("upstream: overload began")
}
