package invariant

import "testing"

// Expect fails a test unless an invariant is found violated by what a function does.
func Expect(t testing.TB, name Name, do func()) {
	t.Helper()
	defer func() {
		t.Helper()
		switch found := recover().(type) {
		case nil:
			t.Errorf("%s is not found violated", name)
		case Violation:
			if found.Name != name {
				t.Errorf("%v, want a violation of %s", found, name)
			}
		default:
			panic(found)
		}
	}()
	do()
}
