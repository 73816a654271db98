package main

import (
	"path/filepath"
	"testing"
)

// TestListOfThisRepository: the list at the root can be read, so that CI does not find out last.
func TestListOfThisRepository(t *testing.T) {
	if _, err := readList(filepath.Join("..", "..", listFile)); err != nil {
		t.Fatal(err)
	}
}
