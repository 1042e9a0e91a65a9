package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"mulleinpier/internal/fake/faultyproxy"
)

type sightCommand struct {
	Fault string `required:"" enum:"none,lose,double,drain" help:"The defect: none, lose, double or drain."`
	Every int    `help:"Inject the defect into one request in this many; by default 1 to 500, by defect."`
}

// defaultDefectInterval maps each defect to its default interval: a defect with interval n is injected into one request
// in n. The interval of double is shorter because only handovers can be duplicated, whereas lose and drain affect any
// request.
var defaultDefectInterval = map[string]int{
	faultyproxy.NoFault:        1,
	faultyproxy.LoseAnswer:     500,
	faultyproxy.DuplicateWrite: 100,
	faultyproxy.UseDraining:    500,
}

func (c *sightCommand) run(ctx context.Context, test *testRun) (report, error) {
	every := c.Every
	if every == 0 {
		every = defaultDefectInterval[c.Fault]
	}
	if err := checkBounds("every", every, 1, 1e6); err != nil {
		return nil, err
	}
	test.options.ProxyCommand = []string{test.self, "double", c.Fault, fmt.Sprint(every)}
	report, err := test.runScenario(ctx, "sight")
	if count, known := countInjected(test.options.Folder); known {
		fmt.Fprintf(test.progress, "defects injected: %d\n", count)
	}
	return report, err
}

// injectedFormat is the format of the last line of a faulty proxy's log.
const injectedFormat = "injected=%d"

// countInjected adds up the numbers of injected defects in the logs of the faulty proxies. known is false if no log
// contains a number.
func countInjected(folder string) (count int, known bool) {
	logs, err := filepath.Glob(filepath.Join(folder, "p*.log"))
	if err != nil {
		return 0, false
	}
	for _, log := range logs {
		text, err := os.ReadFile(log)
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(text)) {
			var n int
			if _, err := fmt.Sscanf(line, injectedFormat, &n); err == nil {
				count += n
				known = true
			}
		}
	}
	return count, known
}
