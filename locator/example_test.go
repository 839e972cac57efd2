package locator_test

import (
	"fmt"
	"time"

	"clementineramp/locator"
)

func ExampleLocator() {
	l, err := locator.New(locator.Config{})
	if err != nil {
		fmt.Println(err)
		return
	}
	const chat = 17
	now := time.Unix(0, 0)
	l.Record(chat, "vavrad-3", now)
	upstream, _, ok := l.Find(chat, now.Add(time.Minute))
	fmt.Println(upstream, ok)
	// Output: vavrad-3 true
}
