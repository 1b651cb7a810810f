package tsbudget

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"maps"
	"strings"
	"sync"
	"time"

	"turmericshed"
)

// holdingDoc is the stored form of a Holding, compressed. There is a lot for almost every pair of
// entry VM and budget, so lots are stored in columns, with ids that omit the holder's incarnation.
type holdingDoc struct {
	VMs     map[string]HoldingVM                 `json:"entry_vms"`
	Holders []turmericshed.Incarnation           `json:"holders"`
	Lots    map[turmericshed.BudgetID]lotColumns `json:"lots"`
	Pools   map[turmericshed.BudgetID]Pool       `json:"pools"`
}

// lotColumns are the lots of one budget. All slices have one element for each lot.
type lotColumns struct {
	// Holder is an index into the document's holders.
	Holder   []int                 `json:"holder"`
	ID       []string              `json:"id"`
	Drawn    []turmericshed.Tokens `json:"drawn"`
	Returned []turmericshed.Tokens `json:"returned"`
	Used     []turmericshed.Tokens `json:"used"`
	Requests []int64               `json:"requests"`
	Rate     []int64               `json:"rate"`
	AtMS     []int64               `json:"at_ms"`
	Most     []turmericshed.Tokens `json:"most"`
}

// maxHoldingBytes bounds the size of a document after decompression.
const maxHoldingBytes = 64 << 20

// idSeparator separates an incarnation from the number in a lot's id.
const idSeparator = "/"

// NewLotID returns the id of a process's lot with the given number.
func NewLotID(in turmericshed.Incarnation, number string) turmericshed.LotID {
	return turmericshed.LotID(string(in) + idSeparator + number)
}

// DecodeHolding reads a holding; an absent one is empty. Errors: KindInternal for a value that is
// not a holding.
func DecodeHolding(item turmericshed.Item) (Holding, error) {
	h := Holding{
		VMs: make(map[string]HoldingVM), Lots: make(map[turmericshed.BudgetID][]Lot), Ceilings: make(map[turmericshed.LotID]turmericshed.Tokens),
		Pools: make(map[turmericshed.BudgetID]Pool), Era: item.Version.Era(),
	}
	if item.Version == 0 {
		return h, nil
	}
	var doc holdingDoc
	r := flate.NewReader(bytes.NewReader(item.Value))
	if err := json.NewDecoder(io.LimitReader(r, maxHoldingBytes)).Decode(&doc); err != nil {
		return h, turmericshed.WrapError(turmericshed.KindInternal, err, "holding %s", item.Key)
	}
	maps.Copy(h.VMs, doc.VMs)
	maps.Copy(h.Pools, doc.Pools)
	for id, c := range doc.Lots {
		lots, err := c.lots(doc.Holders, h.Ceilings)
		if err != nil {
			return h, turmericshed.WrapError(turmericshed.KindInternal, err, "holding %s, budget %s", item.Key, id)
		}
		h.Lots[id] = lots
	}
	return h, nil
}

// lots returns the lots, and adds their ceilings to most.
func (c lotColumns) lots(holders []turmericshed.Incarnation, most map[turmericshed.LotID]turmericshed.Tokens) ([]Lot, error) {
	n := len(c.Holder)
	for _, length := range []int{len(c.ID), len(c.Drawn), len(c.Returned), len(c.Used), len(c.Requests), len(c.Rate), len(c.AtMS), len(c.Most)} {
		if length != n {
			return nil, turmericshed.NewError(turmericshed.KindInternal, "columns of %d and %d lots", n, length)
		}
	}
	lots := make([]Lot, 0, n)
	for i, holder := range c.Holder {
		if holder < 0 || holder >= len(holders) {
			return nil, turmericshed.NewError(turmericshed.KindInternal, "holder %d of %d", holder, len(holders))
		}
		id := turmericshed.LotID(c.ID[i])
		if rest, ok := strings.CutPrefix(c.ID[i], idSeparator); ok {
			id = NewLotID(holders[holder], rest)
		}
		lots = append(lots, Lot{
			ID: id, Holder: holders[holder], Drawn: c.Drawn[i], Returned: c.Returned[i], Used: c.Used[i], Requests: c.Requests[i], Rate: c.Rate[i],
			At: time.UnixMilli(c.AtMS[i]).UTC(),
		})
		if c.Most[i] > 0 {
			most[id] = c.Most[i]
		}
	}
	return lots, nil
}

// Encode returns the value to write. Budgets without lots are excluded.
func (h Holding) Encode() ([]byte, error) {
	doc := holdingDoc{VMs: h.VMs, Pools: h.Pools, Lots: make(map[turmericshed.BudgetID]lotColumns, len(h.Lots))}
	index := make(map[turmericshed.Incarnation]int)
	for _, id := range sortedBudgets(h.Lots) {
		lots := h.Lots[id]
		if len(lots) == 0 {
			continue
		}
		assertLots(lots)
		var c lotColumns
		for _, l := range lots {
			if _, ok := index[l.Holder]; !ok {
				index[l.Holder] = len(doc.Holders)
				doc.Holders = append(doc.Holders, l.Holder)
			}
			c.add(l, index[l.Holder], h.Ceilings[l.ID])
		}
		doc.Lots[id] = c
	}
	var out bytes.Buffer
	w, ok := compressors.Get().(*flate.Writer)
	turmericshed.Assert(ok, "compressor", "no compressor in the pool")
	defer compressors.Put(w)
	w.Reset(&out)
	err := json.NewEncoder(w).Encode(doc)
	if err == nil {
		err = w.Close()
	}
	return out.Bytes(), turmericshed.WrapError(turmericshed.KindInternal, err, "holding")
}

// compressors are reused, since each has tables of half a megabyte.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	turmericshed.Assert(err == nil, "compressor", "%v", err)
	return w
}}

func (c *lotColumns) add(l Lot, holder int, most turmericshed.Tokens) {
	id := string(l.ID)
	if rest, ok := strings.CutPrefix(id, string(l.Holder)+idSeparator); ok {
		id = idSeparator + rest
	}
	c.Holder = append(c.Holder, holder)
	c.ID = append(c.ID, id)
	c.Drawn = append(c.Drawn, l.Drawn)
	c.Returned = append(c.Returned, l.Returned)
	c.Used = append(c.Used, l.Used)
	c.Requests = append(c.Requests, l.Requests)
	c.Rate = append(c.Rate, l.Rate)
	c.AtMS = append(c.AtMS, l.At.UnixMilli())
	c.Most = append(c.Most, most)
}
