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
	Every int    `help:"In one request of so many."`
}

// defaultDefectInterval is in one of how many requests a defect is by default: lose and drain are possible in any
// request, double only in handovers.
var defaultDefectInterval = map[string]int{
	faultyproxy.NoFault:        1,
	faultyproxy.LoseAnswer:     500,
	faultyproxy.DuplicateWrite: 100,
	faultyproxy.UseDraining:    500,
}

func (c *sightCommand) play(ctx context.Context, test *testRun) (report, error) {
	every := c.Every
	if every == 0 {
		every = defaultDefectInterval[c.Fault]
	}
	if err := checkBounds("every", every, 1, 1e6); err != nil {
		return nil, err
	}
	test.options.ProxyCommand = []string{test.self, "double", c.Fault, fmt.Sprint(every)}
	report, err := test.playScenario(ctx, "sight")
	if count, known := countInjected(test.options.Folder); known {
		fmt.Fprintf(test.progress, "put in: %d\n", count)
	}
	return report, err
}

// injectedFormat is the last line of a faulty proxy's log.
const injectedFormat = "injected=%d"

// countInjected sums up the defects that faulty proxies have logged; known is false if none has logged any number.
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
