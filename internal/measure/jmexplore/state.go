package jmexplore

import (
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// hash returns a hash of the state. Worlds with the same hash go on alike: times count
// relative to the present, and the order of maps does not count.
func (w *world) hash() uint64 {
	r := renderer{now: w.now}
	r.int(int64(w.faults))
	r.int(int64(w.sends))
	for _, p := range w.processes {
		r.value(reflect.ValueOf(p.balancer))
		if p.agent != nil {
			r.value(reflect.ValueOf(p.agent))
		}
		r.text(p.service)
		r.value(reflect.ValueOf(p.copy))
		r.value(reflect.ValueOf(p.upstream))
	}
	for i := range w.wire {
		d := &w.wire[i]
		r.time(d.at)
		r.text(d.String())
	}
	for _, c := range w.callers {
		r.value(reflect.ValueOf(c))
	}
	r.value(reflect.ValueOf(w.directory))
	return xxhash.Sum64(r.out)
}

// renderer writes values, those of fields that are not exported as well.
type renderer struct {
	now time.Time
	out []byte
}

func (r *renderer) int(n int64) { r.out = append(strconv.AppendInt(r.out, n, 36), ' ') }

func (r *renderer) text(s string) { r.out = append(append(r.out, s...), ';') }

func (r *renderer) time(t time.Time) {
	if t.IsZero() {
		r.text("never")
		return
	}
	r.int(int64(t.Sub(r.now)))
}

// ignored are the fields that make no difference: statistics, scratch space, callbacks, the
// reference of searches to their agent, and the rates of messages, which so few flows don't
// exhaust. A snapshot follows from the copy. z is an address's zone, which has a pointer.
var ignored = []string{
	"Counts", "out", "scratch", "reports", "snapshot", "view", "z", "agent", "budget", "reportBudget", "due", "OnAnswer", "OnSearchTimeout", "OnRelease", "OnEnd", "OnOverload",
}

func (r *renderer) value(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if v.IsNil() {
			r.text("nil")
		} else {
			r.value(v.Elem())
		}
	case reflect.Struct:
		r.structure(v)
	case reflect.Map:
		r.entries(v)
	case reflect.Slice, reflect.Array:
		r.int(int64(v.Len()))
		for i := range v.Len() {
			r.value(v.Index(i))
		}
	case reflect.String:
		r.text(v.String())
	case reflect.Bool:
		r.text(strconv.FormatBool(v.Bool()))
	case reflect.Float32, reflect.Float64:
		r.out = append(strconv.AppendFloat(r.out, v.Float(), 'g', 6, 64), ' ')
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		r.int(v.Int())
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64, reflect.Uintptr:
		r.out = append(strconv.AppendUint(r.out, v.Uint(), 36), ' ')
	default:
		r.text(v.Kind().String())
	}
}

func (r *renderer) structure(v reflect.Value) {
	if v.Type() == reflect.TypeFor[time.Time]() {
		r.time(timeOf(v))
		return
	}
	for i := range v.NumField() {
		if !slices.Contains(ignored, v.Type().Field(i).Name) {
			r.value(v.Field(i))
		}
	}
}

// entries writes a map in the order of its written keys.
func (r *renderer) entries(v reflect.Value) {
	type pair struct {
		key   string
		value reflect.Value
	}
	pairs := make([]pair, 0, v.Len())
	for _, k := range v.MapKeys() {
		key := renderer{now: r.now}
		key.value(k)
		pairs = append(pairs, pair{string(key.out), v.MapIndex(k)})
	}
	slices.SortFunc(pairs, func(a, b pair) int { return strings.Compare(a.key, b.key) })
	r.int(int64(len(pairs)))
	for _, p := range pairs {
		r.text(p.key)
		r.value(p.value)
	}
}

// timeOf returns a time from a field that may not be exported. The times of a world have no
// monotonic clock, so that the first field has nanoseconds and the second one seconds since
// the year 1.
func timeOf(v reflect.Value) time.Time {
	const unixEpoch = 62_135_596_800 // seconds from the year 1
	if v.Field(0).Uint() == 0 && v.Field(1).Int() == 0 {
		return time.Time{}
	}
	return time.Unix(v.Field(1).Int()-unixEpoch, int64(v.Field(0).Uint()))
}
