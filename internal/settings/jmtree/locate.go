package jmtree

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// decode decodes a value, JSON with comments, into target. It rejects unknown
// fields.
func decode(v *hujson.Value, target any) error {
	plain := v.Clone()
	plain.Standardize()
	decoder := json.NewDecoder(bytes.NewReader(plain.Pack()))
	decoder.DisallowUnknownFields()
	return decoder.Decode(target)
}

// locate finds the innermost value that can't be decoded, since the decoder's
// own errors often don't name it. It returns the value's JSON pointer and error.
func locate(v *hujson.Value, target reflect.Type, pointer string, err error) (string, error) {
	switch node := v.Value.(type) {
	case *hujson.Object:
		if target.Kind() != reflect.Struct {
			return pointer, err
		}
		for i := range node.Members {
			m := &node.Members[i]
			name := m.Name.Value.(hujson.Literal).String()
			inner := pointer + "/" + name
			field, found := fieldNamed(target, name)
			if !found {
				return inner, fmt.Errorf("unknown field %q", name)
			}
			if memberErr := decode(&m.Value, reflect.New(field).Interface()); memberErr != nil {
				return locate(&m.Value, field, inner, memberErr)
			}
		}
	case *hujson.Array:
		if target.Kind() != reflect.Slice {
			return pointer, err
		}
		for i := range node.Elements {
			e := &node.Elements[i]
			if elementErr := decode(e, reflect.New(target.Elem()).Interface()); elementErr != nil {
				return locate(e, target.Elem(), pointer+"/"+strconv.Itoa(i), elementErr)
			}
		}
	}
	return pointer, err
}

// fieldNamed returns the type of the field that the decoder fills from a name,
// in any letter case.
func fieldNamed(target reflect.Type, name string) (field reflect.Type, found bool) {
	for i := range target.NumField() {
		f := target.Field(i)
		if f.IsExported() && f.Tag.Get("json") != "-" && strings.EqualFold(f.Name, name) {
			return f.Type, true
		}
	}
	return nil, false
}

// describe rewords a decoder's error for operators.
func describe(err error) string {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return fmt.Sprintf("a %s can't be a %s", wrongType.Value, wrongType.Type)
	}
	return strings.TrimPrefix(err.Error(), "json: ")
}
