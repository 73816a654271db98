package modelcheck

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"reflect"
	"slices"
	"sync"
	"unsafe"

	"oxbowdeck/internal/paxos"
)

// twin copies a value so deep that nothing done to one shows in the other. It
// goes by the types themselves, so a field the engine gains is copied too. Byte
// slices are shared: encoded values are never written to again.
func twin(v reflect.Value) reflect.Value {
	if plain(v.Type()) {
		return v
	}
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			return v
		}
		p := reflect.New(v.Type().Elem())
		p.Elem().Set(v.Elem())
		deepen(p.Elem())
		return p
	case reflect.Slice:
		if v.IsNil() || v.Type().Elem().Kind() == reflect.Uint8 {
			return v
		}
		s := reflect.MakeSlice(v.Type(), v.Len(), v.Len())
		reflect.Copy(s, v)
		if !plain(v.Type().Elem()) {
			for i := 0; i < s.Len(); i++ {
				deepen(s.Index(i))
			}
		}
		return s
	case reflect.Map:
		if v.IsNil() {
			return v
		}
		m := reflect.MakeMapWithSize(v.Type(), v.Len())
		for it := v.MapRange(); it.Next(); {
			e := reflect.New(v.Type().Elem()).Elem()
			e.Set(it.Value())
			deepen(e)
			m.SetMapIndex(it.Key(), e)
		}
		return m
	}
	panic(fmt.Sprintf("modelcheck: a %s can't be copied", v.Type()))
}

// deepen makes a shallow copy, which can be written to, a deep one.
func deepen(v reflect.Value) {
	if plain(v.Type()) {
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := 0; i < v.NumField(); i++ {
			if f := v.Field(i); !plain(f.Type()) {
				deepen(reflect.NewAt(f.Type(), unsafe.Pointer(f.UnsafeAddr())).Elem())
			}
		}
	case reflect.Array:
		for i := 0; i < v.Len(); i++ {
			deepen(v.Index(i))
		}
	default:
		v.Set(twin(v))
	}
}

// plains remembers, for each type, whether it is plain.
var plains sync.Map

// plain tells whether a value of a type holds no reference.
func plain(t reflect.Type) bool {
	if p, ok := plains.Load(t); ok {
		return p.(bool)
	}
	p := true
	switch t.Kind() {
	case reflect.Struct:
		for i := 0; i < t.NumField() && p; i++ {
			p = plain(t.Field(i).Type)
		}
	case reflect.Array:
		p = plain(t.Elem())
	case reflect.Pointer, reflect.Slice, reflect.Map, reflect.Interface, reflect.Func, reflect.Chan, reflect.UnsafePointer:
		p = false
	}
	plains.Store(t, p)
	return p
}

// timing is the type of an instance's times: the protocol reads when its batch was opened,
// the others are for those who look on.
var timing = reflect.TypeFor[paxos.Timing]()

// canon appends a value's bytes: the same for equal values, whatever the order
// of a map; nil and empty are one. States that differ in what the protocol never reads
// are one as well.
func canon(b []byte, v reflect.Value) []byte {
	switch v.Kind() {
	case reflect.Bool:
		if v.Bool() {
			return append(b, 1)
		}
		return append(b, 0)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return binary.AppendVarint(b, v.Int())
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return binary.AppendUvarint(b, v.Uint())
	case reflect.String:
		b = binary.AppendUvarint(b, uint64(v.Len()))
		return append(b, v.String()...)
	case reflect.Struct:
		if v.Type() == timing {
			return canon(b, v.FieldByName("Opened"))
		}
		for i := 0; i < v.NumField(); i++ {
			b = canon(b, v.Field(i))
		}
		return b
	case reflect.Array, reflect.Slice:
		b = binary.AppendUvarint(b, uint64(v.Len()))
		if v.Type().Elem().Kind() == reflect.Uint8 && v.Kind() == reflect.Slice {
			return append(b, v.Bytes()...)
		}
		for i := 0; i < v.Len(); i++ {
			b = canon(b, v.Index(i))
		}
		return b
	case reflect.Pointer:
		if v.IsNil() {
			return append(b, 0)
		}
		return canon(append(b, 1), v.Elem())
	case reflect.Map:
		rows := make([][]byte, 0, v.Len())
		for it := v.MapRange(); it.Next(); {
			rows = append(rows, canon(canon(nil, it.Key()), it.Value()))
		}
		slices.SortFunc(rows, bytes.Compare)
		b = binary.AppendUvarint(b, uint64(len(rows)))
		for _, r := range rows {
			b = append(b, r...)
		}
		return b
	}
	panic(fmt.Sprintf("modelcheck: a %s has no bytes", v.Type()))
}
