package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
)

// readResourceUses returns the memory and open files of the processes, from /proc.
func (execution *execution) readResourceUses() []resourceUse {
	var uses []resourceUse
	for _, host := range execution.processes.Hosts() {
		use, err := readResourceUse(host.PID())
		use.host, use.err = string(host.Node), err
		uses = append(uses, use)
	}
	return uses
}

func readResourceUse(id int) (resourceUse, error) {
	folder := filepath.Join("/proc", strconv.Itoa(id))
	files, err := os.ReadDir(filepath.Join(folder, "fd"))
	if err != nil {
		return resourceUse{}, err
	}
	text, err := os.ReadFile(filepath.Join(folder, "statm"))
	if err != nil {
		return resourceUse{}, err
	}
	var total, resident int
	if _, err := fmt.Sscan(string(text), &total, &resident); err != nil {
		return resourceUse{}, err
	}
	return resourceUse{memoryBytes: resident * os.Getpagesize(), openFiles: len(files)}, nil
}
