package compiler

import (
	"errors"
	"math"
	"strconv"

	"clementineramp/configurer"
)

// The kinds of rows.
const (
	kindVersion      = "version"
	kindRank         = "rank"
	kindPool         = "pool"
	kindService      = "service"
	kindOrganisation = "organisation"
	kindAccount      = "account"
)

// kind describes a kind of row with its columns and the method that adds a row of the kind.
type kind struct {
	name               string
	required, optional []string
	add                func(*compilation, *row)
}

func kinds() []kind {
	return []kind{
		{kindVersion, []string{"number"}, nil, (*compilation).addVersion},
		{kindRank, []string{"name", "target", "worth", "share"}, nil, (*compilation).addRank},
		{kindPool, []string{"name", "model", "version", "floor"}, []string{"account"}, (*compilation).addPool},
		{kindService, []string{"name", "workers", "horizon"}, nil, (*compilation).addService},
		{kindOrganisation, []string{"name", "key_hash", "rank"}, []string{"ranks", "weight"}, (*compilation).addOrganisation},
		{kindAccount, []string{"name", "amount", "as_of", "lapses", "credits_per_token"}, nil, (*compilation).addAccount},
	}
}

func kindOf(name string) (kind, bool) {
	for _, k := range kinds() {
		if k.name == name {
			return k, true
		}
	}
	return kind{}, false
}

func kindNames() []string {
	var names []string
	for _, k := range kinds() {
		names = append(names, k.name)
	}
	return names
}

// columnOf returns the column of the sheet for a field of configurer's row types.
func columnOf(field string) string {
	switch field {
	case "target_ms":
		return "target"
	case "horizon_ms":
		return "horizon"
	}
	return field
}

// appendValid appends v to rows unless an error was already reported for its row or v.Check finds one. Check also
// covers rules that involve more than one cell.
func appendValid[T interface{ Check() error }](r *row, rows *[]T, v T) {
	if r.invalid {
		return
	}
	if err := v.Check(); err != nil {
		var e *configurer.FieldError
		if errors.As(err, &e) {
			r.fail(columnOf(e.Field), "%v", e.Err)
			return
		}
		r.fail("", "%v", err)
		return
	}
	*rows = append(*rows, v)
}

func (c *compilation) addVersion(r *row) {
	c.versions++
	if c.versions > 1 {
		r.fail("", "the sheet has a second version row")
		return
	}
	s := r.nonEmpty("number")
	n, err := strconv.ParseUint(s, 10, 64)
	if s != "" && (err != nil || n == 0) {
		r.fail("number", "%q, want a whole number of at least 1", s)
	}
	c.version = n
}

func (c *compilation) addRank(r *row) {
	v := configurer.Rank{
		Name: r.word("name"), TargetMS: r.millis("target"),
		Worth: r.positive("worth"), Share: r.decimal("share", 1),
	}
	c.registerName(r, kindRank, v.Name)
	if v.Share <= 1 && c.sharesExceedOne(v.Share) {
		r.fail("share", "the shares up to this rank sum to more than 1")
	}
	appendValid(r, &c.rows.Ranks, v)
}

func (c *compilation) sharesExceedOne(share float64) bool {
	// The tolerance allows for the floating-point rounding of sums such as 0.7 + 0.2 + 0.1.
	const tolerance = 1e-9
	for _, r := range c.rows.Ranks {
		share += r.Share
	}
	return share > 1+tolerance
}

func (c *compilation) addPool(r *row) {
	v := configurer.Pool{
		Name: r.word("name"), Model: r.word("model"), Version: r.word("version"),
		Floor: r.decimal("floor", 1), Account: r.cells["account"],
	}
	c.registerName(r, kindPool, v.Name)
	c.addReferences(r, "account", kindAccount, v.Account)
	if first, ok := c.models[v.Model]; ok {
		r.fail("model", "%q is already served by the pool in %s:%d", v.Model, first.file, first.line)
	}
	if v.Model != "" {
		c.models[v.Model] = r.at
	}
	appendValid(r, &c.rows.Pools, v)
}

func (c *compilation) addService(r *row) {
	v := configurer.Service{Name: r.word("name"), Workers: r.words("workers"), HorizonMS: r.millis("horizon")}
	c.registerName(r, kindService, v.Name)
	appendValid(r, &c.rows.Services, v)
}

func (c *compilation) addOrganisation(r *row) {
	v := configurer.Organisation{
		Name: r.nonEmpty("name"), KeyHash: r.keyHash("key_hash"),
		Rank: r.word("rank"), Ranks: r.words("ranks"),
	}
	if r.cells["weight"] != "" {
		v.Weight = r.positive("weight")
	}
	c.registerName(r, kindOrganisation, v.Name)
	c.addReferences(r, "rank", kindRank, v.Rank)
	c.addReferences(r, "ranks", kindRank, v.Ranks...)
	if first, ok := c.keys[v.KeyHash]; ok {
		r.fail("key_hash", "the organisation in %s:%d has the same key", first.file, first.line)
	} else if v.KeyHash != "" {
		c.keys[v.KeyHash] = r.at
	}
	appendValid(r, &c.rows.Organisations, v)
}

func (c *compilation) addAccount(r *row) {
	v := configurer.Account{
		Name: r.word("name"), Amount: r.decimal("amount", math.MaxFloat64),
		AsOf: r.timestamp("as_of", false), Lapses: r.timestamp("lapses", true),
		CreditsPerToken: r.positive("credits_per_token"),
	}
	c.registerName(r, kindAccount, v.Name)
	appendValid(r, &c.rows.Accounts, v)
}
