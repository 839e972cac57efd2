package main

import (
	"bytes"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	// recoveryTime is RecoveryS of the sheet.
	recoveryTime = 12 * time.Second
	// foreignEntries and foreignBytes are the number and the size of the entries of another writer.
	foreignEntries = 140
	foreignBytes   = 64 << 10
	// restartTime is the time after which a process that was killed is started again.
	restartTime = time.Second
)

// caseRecover lets another writer leave entries that cannot be read, and then kills all gateways.
func caseRecover(c *caseRun) (broken bool, err error) {
	f, err := newFleet(c.program, 4)
	if err != nil {
		return false, err
	}
	defer f.close()
	f.store.put("op/config", configuration(7, standardRoutes(), []tenant{{"t1", []string{"k1"}}}))
	for i := range 3 {
		if err := f.addWorker(fmt.Sprintf("i-p%d", i), "plain", 6, servePlain(15*time.Millisecond)); err != nil {
			return false, err
		}
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	began := time.Now()
	end := began.Add(40 * time.Second)
	clients := &callers{prefix: "c7"}
	done := make(chan struct{})
	order := request{method: http.MethodPost, path: "/order/1", key: "k1", body: "an order", deadline: 600 * time.Millisecond}
	go func() {
		defer close(done)
		clients.runAll(f, order, 3, 100*time.Millisecond, end)
	}()

	time.Sleep(4 * time.Second)
	if c.trouble {
		for i := range foreignEntries {
			f.store.put(fmt.Sprintf("servers/strange-%03d", i), bytes.Repeat([]byte{0xff}, foreignBytes))
			time.Sleep(10 * time.Millisecond)
		}
		c.record("another writer has left %d entries of %d bytes that can't be read, at %v", foreignEntries, foreignBytes, time.Since(began))
	}
	time.Sleep(time.Until(began.Add(9 * time.Second)))
	f.store.put("op/config", configuration(12, standardRoutes(), []tenant{{"t1", []string{"k1"}}}))
	faultAt := time.Now()
	for _, g := range f.gateways {
		g.signal(syscall.SIGKILL)
	}
	c.record("all gateways are killed at %v, right after a configuration was acknowledged", faultAt.Sub(began))
	time.Sleep(restartTime)
	for _, g := range f.gateways {
		<-g.exited
		if err := f.start(g); err != nil {
			return false, err
		}
	}
	back := time.Now()
	c.record("they are started again at %v", back.Sub(began))
	<-done

	for _, g := range f.gateways {
		c.record("%s says that it is ready: %v", g.name, g.isReady())
	}
	var before, servedBefore, after, servedAfter int
	statuses := make(map[int]int)
	for _, a := range clients.answers {
		served := a.status == http.StatusOK && a.whole
		switch {
		case a.sent.Before(faultAt.Add(-time.Second)):
			before++
			if served {
				servedBefore++
			}
		case a.sent.After(back.Add(recoveryTime)):
			after++
			statuses[a.status]++
			if served {
				servedAfter++
			}
		}
	}
	c.record("before the final fault %d of %d requests were served", servedBefore, before)
	c.record("RECOVER: of the requests sent later than %v after the machines were back, %d of %d were served; statuses %v", recoveryTime, servedAfter, after, statuses)
	if before == 0 || 4*servedBefore < before || after == 0 {
		return false, fmt.Errorf("too few requests were served before the fault or sent after it")
	}
	return 4*servedAfter < after, nil
}
