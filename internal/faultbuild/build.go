package faultbuild

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// Options are the inputs and outputs of Build.
type Options struct {
	Module  string   // root directory of this module
	Package string   // package to build, as an argument of go build
	Output  string   // path of the program
	Dir     string   // directory for the patched files
	Faults  bool     // patch the toolchain for fault injection
	Patches []Patch  // patches of the module's own files, which build in plants
	Env     []string // environment of go build, added to that of this process
}

// overlay is the file that go build -overlay reads.
type overlay struct {
	Replace map[string]string
}

// Build builds a program with its patches. If the build fails, the error includes the output of go build.
func Build(ctx context.Context, options Options) error {
	// go build runs in the module's directory, so the paths must be absolute.
	for _, path := range []*string{&options.Module, &options.Output, &options.Dir} {
		absolute, err := filepath.Abs(*path)
		if err != nil {
			return fmt.Errorf("faultbuild: %w", err)
		}
		*path = absolute
	}
	files := &patchedFiles{dir: options.Dir, overlay: overlay{Replace: map[string]string{}}}
	if options.Faults {
		if err := files.patchToolchain(ctx); err != nil {
			return err
		}
	}
	if err := files.patch(options.Module, options.Patches); err != nil {
		return err
	}
	overlayFile, err := files.writeOverlay()
	if err != nil {
		return err
	}
	command := exec.CommandContext(ctx, "go", "build", "-overlay="+overlayFile, "-o", options.Output, options.Package)
	command.Dir = options.Module
	command.Env = append(append(os.Environ(), "CGO_ENABLED=0"), options.Env...)
	if output, err := command.CombinedOutput(); err != nil {
		return fmt.Errorf("faultbuild: go build: %w: %s", err, output)
	}
	return nil
}

// patchedFiles writes patched files into a directory and collects them in an overlay.
type patchedFiles struct {
	dir     string
	overlay overlay
}

func (f *patchedFiles) patchToolchain(ctx context.Context) error {
	output, err := exec.CommandContext(ctx, "go", "env", "GOROOT").Output()
	if err != nil {
		return fmt.Errorf("faultbuild: go env GOROOT: %w", err)
	}
	source := filepath.Join(strings.TrimSpace(string(output)), "src")
	if err := f.patch(source, toolchainPatches); err != nil {
		return err
	}
	return f.write(filepath.Join(source, hookFile), hookSource)
}

// patch applies patches to files below root and adds the results to the overlay.
func (f *patchedFiles) patch(root string, patches []Patch) error {
	contents, err := patchContents(root, patches)
	if err != nil {
		return err
	}
	for file, content := range contents {
		if err := f.write(filepath.Join(root, file), content); err != nil {
			return err
		}
	}
	return nil
}

// write writes content to a new file, which replaces file in the build.
func (f *patchedFiles) write(file, content string) error {
	patched := filepath.Join(f.dir, fmt.Sprintf("%d-%s", len(f.overlay.Replace), filepath.Base(file)))
	if err := os.WriteFile(patched, []byte(content), 0o600); err != nil {
		return fmt.Errorf("faultbuild: %w", err)
	}
	f.overlay.Replace[file] = patched
	return nil
}

func (f *patchedFiles) writeOverlay() (string, error) {
	text, err := json.Marshal(f.overlay)
	if err != nil {
		return "", fmt.Errorf("faultbuild: %w", err)
	}
	file := filepath.Join(f.dir, "overlay.json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return "", fmt.Errorf("faultbuild: %w", err)
	}
	return file, nil
}

// CheckPatches returns a PatchError if a patch does not match its file in the module, or another error if the file can't
// be read.
func CheckPatches(module string, patches []Patch) error {
	_, err := patchContents(module, patches)
	return err
}

// patchContents returns the patched contents of files below root, keyed by the file of the patch. Several patches of one
// file are applied in their order.
func patchContents(root string, patches []Patch) (map[string]string, error) {
	contents := map[string]string{}
	for i := range patches {
		p := &patches[i]
		content, ok := contents[p.File]
		if !ok {
			read, err := os.ReadFile(filepath.Join(root, p.File))
			if err != nil {
				return nil, fmt.Errorf("faultbuild: %w", err)
			}
			content = string(read)
		}
		patched, err := p.apply(content)
		if err != nil {
			return nil, err
		}
		contents[p.File] = patched
	}
	return contents, nil
}
