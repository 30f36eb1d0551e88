package speed

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"plantainlane/standin/fetch"
)

const (
	maxVarsBytes = 8 << 20
	bytesPerKiB  = 1024
	// residentField is the name of the resident set in /proc/PID/status, whose values are in KiB.
	residentField = "VmRSS:"
)

// Memory is the memory use of an instance in bytes.
type Memory struct {
	// Go is the heap and the stacks in use, as reported by the instance's metrics.
	Go int64 `json:"go"`
	// Resident is the resident set of the process, 0 if it was not read.
	Resident int64 `json:"resident"`
}

// vars is the part of the answer of GET /debug/vars that is used.
type vars struct {
	Memstats struct {
		HeapInuse  int64
		StackInuse int64
	} `json:"memstats"`
}

// ReadMemory reads the memory use in an instance's metrics at its operator listener, and the resident set of the
// process pid unless that is 0.
func ReadMemory(ctx context.Context, client *http.Client, operator, credential string, pid int) (Memory, error) {
	var m Memory
	var v vars
	if err := fetch.JSON(ctx, client, "http://"+operator+"/debug/vars", credential, maxVarsBytes, &v); err != nil {
		return m, err
	}
	m.Go = v.Memstats.HeapInuse + v.Memstats.StackInuse
	if pid == 0 {
		return m, nil
	}
	var err error
	m.Resident, err = readResident(pid)
	return m, err
}

// readResident returns the resident set of a process in bytes, as /proc reports it.
func readResident(pid int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, errors.Wrap(err, "resident set")
	}
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) >= 2 && fields[0] == residentField {
			kib, err := strconv.ParseInt(fields[1], 10, 64)
			return kib * bytesPerKiB, errors.Wrap(err, "resident set")
		}
	}
	return 0, errors.Newf("/proc/%d/status has no line %s", pid, residentField)
}
