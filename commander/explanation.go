package commander

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"

	"clementineramp/chooser"
	"clementineramp/configurer"
	"clementineramp/explainer"
)

// table writes rows of cells in aligned columns.
type table struct {
	*tabwriter.Writer
}

func newTable(out io.Writer) table {
	return table{tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)}
}

func (t table) row(cells ...string) {
	for i, c := range cells {
		cells[i] = printable(c)
	}
	fmt.Fprintln(t, strings.Join(cells, "\t"))
}

// section begins a block of rows whose columns are aligned separately.
func (t table) section(title string, headings ...string) {
	// An empty line without tabs ends the column block of the tabwriter.
	fmt.Fprintln(t)
	fmt.Fprintln(t, title)
	fmt.Fprintln(t)
	fmt.Fprintln(t, strings.Join(headings, "\t"))
}

func (t table) configuration(p configurer.ID) {
	t.row("configuration", fmt.Sprintf("version %d, digest %s", p.Version, p.Digest))
}

func (t table) caller(c explainer.Caller) {
	t.row("organisation", fmt.Sprintf("%s, weight %s", c.Organisation, decimal(c.Weight)))
	t.row("rank", fmt.Sprintf("%s, %d of %d by urgency, target %s, worth %s, guaranteed share %s",
		c.Rank.Name, c.Rank.Position, c.Rank.Of, formatMS(c.Rank.TargetMS), decimal(c.Rank.Worth), percent(c.Rank.GuaranteedShare)))
}

func (t table) notes(notes []string) {
	if len(notes) == 0 {
		return
	}
	fmt.Fprintln(t)
	for _, n := range notes {
		fmt.Fprintln(t, "note:", printable(n))
	}
}

func printChat(out io.Writer, c *explainer.Chat) error {
	t := newTable(out)
	t.row("routed to", orDash(c.RoutedTo))
	t.row("reason", fmt.Sprintf("%s: %s", c.Reason, c.Why))
	t.configuration(c.Configuration)
	t.caller(c.Caller)
	t.row("pool", describePool(c.Pool))
	t.row("key", fmt.Sprintf("%016x, from the %s", c.Key, keySource(c.KeyFrom)))
	t.row("cost", fmt.Sprintf("%.0f tokens", c.Cost))
	t.row("load bound", describeBound(c.Bound))
	t.section("Attempts", "TRY", "UPSTREAM", "ADDRESS", "FAILURE DOMAIN", "PLACE", "AGENT")
	for _, a := range c.Attempts {
		t.row(strconv.Itoa(a.Number), a.Upstream, a.Address, a.Domain, a.Note, string(a.Admission))
	}
	t.section("Preference order of the chat", "PLACE", "UPSTREAM", "FAILURE DOMAIN", "STATE", "WORK", "AGE", "WEIGHT", "SCORE", "NOTE")
	for _, cand := range c.Ranking {
		t.candidate(cand)
	}
	t.notes(c.Notes)
	return t.Flush()
}

func (t table) candidate(c chooser.Candidate) {
	position, work, age := "-", "?", "?"
	if c.Position > 0 {
		position = strconv.Itoa(c.Position)
	}
	if c.Known {
		work, age = fmt.Sprintf("%.0f", c.Work), c.WorkAge.String()
	}
	t.row(position, c.Name, c.Domain, c.State.String(), work, age, fmt.Sprintf("%.2f", c.Weight), fmt.Sprintf("%.4f", c.Score), c.Note)
}

func keySource(from string) string {
	if from == explainer.KeyFromMessages {
		return "first messages of the request"
	}
	return "name of the chat"
}

func describePool(d explainer.Destination) string {
	s := fmt.Sprintf("%s with model %s version %s, %s", d.Name, d.Model, d.Version, describeAgents(d))
	if d.Account != "" {
		s += ", charged first to account " + d.Account
	}
	return s
}

func describeAgents(d explainer.Destination) string {
	if d.Leaving == 0 {
		return fmt.Sprintf("%d hosts", d.Agents)
	}
	return fmt.Sprintf("%d hosts, %d of them leaving", d.Agents, d.Leaving)
}

func describeBound(b explainer.Bound) string {
	if b.Known == 0 {
		return fmt.Sprintf("%s times the mean; the load of all %d upstreams is unknown, so agents admit without a limit", decimal(b.Multiple), b.Members)
	}
	return fmt.Sprintf("%s times the mean of %.0f tokens, known for %d of %d upstreams; agents admit up to %.0f",
		decimal(b.Multiple), b.Mean, b.Known, b.Members, b.Limit)
}

func printOrder(out io.Writer, o *explainer.Order) error {
	t := newTable(out)
	t.row("routed to", orDash(o.RoutedTo))
	t.row("owner", orDash(o.Owner))
	t.row("reason", o.Why)
	t.configuration(o.Configuration)
	t.caller(o.Caller)
	t.row("service", fmt.Sprintf("%s, %s, retries within %s", o.Service.Name, describeAgents(o.Service), formatMS(o.Service.HorizonMS)))
	t.row("key", fmt.Sprintf("%s (%s)", orDash(o.Key), o.KeyKind))
	t.section("Workers", "WORKER", "STATE", "ADDRESS", "FAILURE DOMAIN", "OWNER")
	for _, w := range o.Workers {
		t.row(w.Name, w.State, orDash(w.Address), orDash(w.Domain), yesOrDash(w.Owner))
	}
	t.notes(o.Notes)
	return t.Flush()
}

func printOrganisation(out io.Writer, o *explainer.Organisation) error {
	t := newTable(out)
	t.row("organisation", o.Name)
	t.row("weight", decimal(o.Weight))
	t.configuration(o.Configuration)
	t.row("part", fmt.Sprintf("%s, digest %s", o.Part.Name, o.Part.Digest))
	t.section("Ranks that it may use, most urgent first",
		"RANK", "DEFAULT", "TARGET", "WORTH", "GUARANTEED SHARE", "ORGANISATIONS", "FAIR SHARE")
	for _, r := range o.Ranks {
		t.row(r.Name, yesOrDash(r.Default), formatMS(r.TargetMS), decimal(r.Worth), percent(r.GuaranteedShare), strconv.Itoa(r.Organisations), percent(r.FairShare))
	}
	t.section("Pools and services", "NAME", "HOSTS", "LEAVING", "MODEL", "VERSION", "ACCOUNT")
	for _, d := range append(o.Pools, o.Services...) {
		t.row(d.Name, strconv.Itoa(d.Agents), strconv.Itoa(d.Leaving), orDash(d.Model), orDash(d.Version), orDash(d.Account))
	}
	t.notes(o.Notes)
	return t.Flush()
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func yesOrDash(b bool) string {
	if b {
		return "yes"
	}
	return "-"
}

func decimal(v float64) string {
	return strconv.FormatFloat(v, 'f', -1, 64)
}

func percent(v float64) string {
	return strconv.FormatFloat(100*v, 'f', 1, 64) + "%"
}
