package childprocess

import (
	"fmt"
	"os/exec"
)

// BuildPrograms builds the project's programs into a folder, from a package's folder two levels
// below the root: for tests that run them.
func BuildPrograms(dir string, flags ...string) error {
	arguments := append([]string{"build", "-o", dir + "/"}, flags...)
	out, err := exec.Command("go", append(arguments, "../../cmd/...")...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("build: %w: %s", err, out)
	}
	return nil
}
