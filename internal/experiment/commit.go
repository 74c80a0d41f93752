package experiment

import (
	"os/exec"
	"runtime/debug"
	"strings"
)

const commitProperty = "commit="

// buildCommit returns "commit=" and the commit that this program was built from, followed by "+" if the tree was
// modified. If the build has no stamp, it uses the commit of the working directory, or "unknown" if there is none.
func buildCommit() string {
	if commit := stampedCommit(); commit != "" {
		return commitProperty + commit
	}
	out, err := exec.Command("git", "describe", "--always", "--abbrev=40", "--dirty=+", "--exclude=*").Output()
	if err != nil {
		return commitProperty + "unknown"
	}
	return commitProperty + strings.TrimSpace(string(out))
}

// stampedCommit returns the commit that the go command stamped into the program, or "" if there is none.
func stampedCommit() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	commit, modified := "", ""
	for _, setting := range info.Settings {
		switch {
		case setting.Key == "vcs.revision":
			commit = setting.Value
		case setting.Key == "vcs.modified" && setting.Value == "true":
			modified = "+"
		}
	}
	if commit == "" {
		return ""
	}
	return commit + modified
}
