package nutmegentry

import (
	"encoding/json"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegsuspect"
	"github.com/nutmegwind/nutmegwind/nutmegpeer"
)

// The kinds of gossip items that instances exchange.
const (
	itemCrashReport nutmegpeer.ItemKind = "crash_reports"
	itemAcquittal   nutmegpeer.ItemKind = "acquittals"
	itemNotice      nutmegpeer.ItemKind = "upstream_notices"
	itemEvacuation  nutmegpeer.ItemKind = "evacuations"
)

// items returns the rules of the gossip items.
func (e *Entry) items() map[nutmegpeer.ItemKind]nutmegpeer.ItemRule {
	rules := map[nutmegpeer.ItemKind]nutmegpeer.ItemRule{
		itemCrashReport: {MaxItems: maxCrashReports, MaxBytes: maxSuspectItemBytes, Urgent: true, OnItem: e.receiveReport},
		itemAcquittal:   {MaxItems: maxAcquittals, MaxBytes: maxSuspectItemBytes, Urgent: true, OnItem: e.receiveAcquittal},
		itemNotice:      {MaxItems: maxNoticeItems, MaxBytes: maxNoticeItemBytes, Urgent: true, OnItem: e.receiveStatement},
	}
	if e.evacuations != nil {
		rules[itemEvacuation] = nutmegpeer.ItemRule{MaxItems: maxEvacuationItems, MaxBytes: maxEvacuationItemBytes, Urgent: true, OnItem: e.evacuations.receive}
	}
	return rules
}

// itemLifetime is how long instances keep the items of a kind.
func itemLifetime(kind nutmegpeer.ItemKind) time.Duration {
	switch kind {
	case itemNotice:
		return noticeLifetime
	case itemEvacuation:
		return evacuationLifetime
	}
	return nutmegsuspect.ReportLifetime
}

// putItem spreads a value as a gossip item. A value that replaces another one has a
// higher version.
func (e *Entry) putItem(kind nutmegpeer.ItemKind, key string, version uint64, value any) {
	text, err := json.Marshal(value)
	if err == nil {
		err = e.roster.PutItem(nutmegpeer.Item{
			Kind: kind, Key: key, Version: version, Expires: time.Now().Add(itemLifetime(kind)), Value: text,
		})
	}
	if err != nil {
		e.count("items_not_sent")
		e.event("item_not_sent").WithFields(logrus.Fields{"kind": kind, "key": key}).WithError(err).Warn("other instances do not learn of this now")
	}
}

func (e *Entry) itemUnreadable(i nutmegpeer.Item, err error) {
	e.count("items_unreadable")
	e.event("item_unreadable").WithFields(logrus.Fields{"kind": i.Kind, "key": i.Key}).WithError(err).Error("cannot decode what another instance says")
}
