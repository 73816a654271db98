package modelcheck

import (
	"reflect"
	"strings"
	"testing"
	"unsafe"

	"oxbowdeck/internal/paxos"
)

func settable(v reflect.Value) reflect.Value {
	return reflect.NewAt(v.Type(), unsafe.Pointer(v.UnsafeAddr())).Elem()
}

// fill puts something into everything a value holds.
func fill(v reflect.Value, far int) {
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(7)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(7)
	case reflect.String:
		v.SetString("x")
	case reflect.Struct:
		for i := 0; i < v.NumField(); i++ {
			fill(settable(v.Field(i)), far)
		}
	case reflect.Array:
		for i := 0; i < v.Len(); i++ {
			fill(v.Index(i), far)
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), far+1)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), far+1)
	case reflect.Map:
		k, e := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(k, far+1)
		fill(e, far+1)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(k, e)
	default:
		panic(v.Type().String())
	}
}

func shares(t *testing.T, at string, a, b reflect.Value) {
	switch a.Kind() {
	case reflect.Struct:
		for i := 0; i < a.NumField(); i++ {
			shares(t, at+"."+a.Type().Field(i).Name, a.Field(i), b.Field(i))
		}
	case reflect.Array:
		for i := 0; i < a.Len(); i++ {
			shares(t, at, a.Index(i), b.Index(i))
		}
	case reflect.Pointer, reflect.Map, reflect.Slice:
		if a.Kind() == reflect.Slice && a.Type().Elem().Kind() == reflect.Uint8 {
			return // values are never written to again
		}
		if a.Pointer() == b.Pointer() {
			t.Errorf("%s is shared", at)
			return
		}
		switch a.Kind() {
		case reflect.Pointer:
			shares(t, at, a.Elem(), b.Elem())
		case reflect.Map:
			for it := a.MapRange(); it.Next(); {
				shares(t, at+"[]", it.Value(), b.MapIndex(it.Key()))
			}
		case reflect.Slice:
			for i := 0; i < a.Len(); i++ {
				shares(t, at+"[]", a.Index(i), b.Index(i))
			}
		}
	}
}

// TestBlindFieldsAreThere: a field that was renamed would be looked at again, and
// states that are the same would count as many.
func TestBlindFieldsAreThere(t *testing.T) {
	for name := range blind(&Plan{Instant: true}) {
		of := reflect.TypeOf(paxos.Core{})
		for _, part := range strings.Split(name, ".") {
			f, ok := of.FieldByName(part)
			if !ok {
				t.Errorf("the engine has no field %s", name)
				break
			}
			of = f.Type
		}
	}
}

// TestTimesThatNobodyReads: states that differ in the times of an instance that the engine
// only tells are one state; in the time that it reads, they are two.
func TestTimesThatNobodyReads(t *testing.T) {
	bytesOf := func(x paxos.Timing) string { return string(canon(nil, reflect.ValueOf(x))) }
	first := bytesOf(paxos.Timing{Opened: 1})
	if bytesOf(paxos.Timing{Opened: 1, Closed: 2, Proposed: 3, Synced: 4, Agreed: 5}) != first {
		t.Error("times that are only told make another state")
	}
	if bytesOf(paxos.Timing{Opened: 2}) == first {
		t.Error("the time that the engine reads makes no other state")
	}
}
