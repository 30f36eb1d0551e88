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
	maxVars      = 8 << 20
	bytesPerKiB  = 1024
	residentLine = "VmRSS:"
)

// Memory is what an instance uses, in bytes.
type Memory struct {
	// Go is the heap and stacks in use, by the instance's metrics.
	Go int64 `json:"go"`
	// Resident is the resident set; 0 if the process is not known.
	Resident int64 `json:"resident"`
}

type vars struct {
	Memstats struct {
		HeapInuse  int64
		StackInuse int64
	} `json:"memstats"`
}

// ReadMemory reads an instance's metrics at its operator listener, and the resident set of a process
// if pid is not 0.
func ReadMemory(ctx context.Context, client *http.Client, operator, credential string, pid int) (Memory, error) {
	var m Memory
	var v vars
	if err := fetch.JSON(ctx, client, "http://"+operator+"/debug/vars", credential, maxVars, &v); err != nil {
		return m, err
	}
	m.Go = v.Memstats.HeapInuse + v.Memstats.StackInuse
	if pid == 0 {
		return m, nil
	}
	var err error
	m.Resident, err = resident(pid)
	return m, err
}

func resident(pid int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, errors.Wrap(err, "resident set")
	}
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) >= 2 && fields[0] == residentLine {
			kib, err := strconv.ParseInt(fields[1], 10, 64)
			return kib * bytesPerKiB, errors.Wrap(err, "resident set")
		}
	}
	return 0, errors.New("no resident set")
}
