package nutmegconf

import (
	"encoding/hex"
	"fmt"
	"regexp"
	"slices"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// checkName checks a name that becomes part of object names and URLs.
func (b *planBuilder) checkName(what, name string) bool {
	if namePattern.MatchString(name) {
		return true
	}
	b.addError("use 1 to 63 letters, digits, dots, dashes and underscores", "%s name %q is not allowed", what, name)
	return false
}

func (b *planBuilder) checkPriority(p Priority) bool {
	allowed := []Priority{PriorityCheck, PriorityLookUp, PrioritySteady, PriorityBatch}
	if p == "" || slices.Contains(allowed, p) {
		return true
	}
	b.addError(fmt.Sprintf("use one of %v", allowed), "priority %q is unknown", p)
	return false
}

func (b *planBuilder) checkKeyHashes(hashes []string) bool {
	for _, h := range hashes {
		if raw, err := hex.DecodeString(h); err != nil || len(raw) != keyHashBytes {
			b.addError("give the SHA-256 of the key as 64 hexadecimal digits", "key hash %q is not one", h)
			return false
		}
	}
	return true
}

func (b *planBuilder) checkBudgetPreference(p BudgetPreference) bool {
	if p == "" || p == AvoidOverspend || p == AvoidFalseRefusals {
		return true
	}
	b.addError(fmt.Sprintf("use %s or %s", AvoidOverspend, AvoidFalseRefusals), "weighing %q is unknown", p)
	return false
}

func addOwner(b *planBuilder, i Intent) {
	if !b.mayChangeFleet() || !b.checkName("owner", string(i.Owner)) || !b.checkBudgetPreference(i.BudgetPreference) {
		return
	}
	if _, ok := b.config.Owners[i.Owner]; ok {
		b.addError("choose another name", "owner %q exists", i.Owner)
		return
	}
	b.config.Owners[i.Owner] = OwnerConfig{BudgetPreference: i.BudgetPreference}
	b.addChange("", "added", "owner %s", i.Owner)
}

func changeOwner(b *planBuilder, i Intent) {
	o, ok := b.config.Owners[i.Owner]
	if !ok {
		b.addError("name an existing owner", "owner %q does not exist", i.Owner)
		return
	}
	if !b.mayChange(i.Owner) || !b.checkBudgetPreference(i.BudgetPreference) {
		return
	}
	b.addChange(string(o.BudgetPreference), string(i.BudgetPreference), "weighing of owner %s", i.Owner)
	o.BudgetPreference = i.BudgetPreference
	b.config.Owners[i.Owner] = o
}

func removeOwner(b *planBuilder, i Intent) {
	if !b.mayChangeFleet() {
		return
	}
	if _, ok := b.config.Owners[i.Owner]; !ok {
		b.addError("name an existing owner", "owner %q does not exist", i.Owner)
		return
	}
	state, err := b.fleet.Budget(b.ctx, nutmegid.OwnerBudget(i.Owner))
	if err != nil {
		b.addError("try again when the platform answers", "the budget of owner %q could not be read: %v", i.Owner, err)
		return
	}
	if state.Leased > 0 {
		b.addError("close its workspaces, wait until its leases return, then remove it", "owner %q has %d tokens leased", i.Owner, state.Leased)
		return
	}
	delete(b.config.Owners, i.Owner)
	b.addChange(state.String(), "removed", "owner %s", i.Owner)
	b.addAffected(i.Owner, "removed with %d tokens that are not spent", state.Prepaid-state.Spent)
}

func addWorkspace(b *planBuilder, i Intent) {
	if !b.checkName("workspace", string(i.Workspace)) || !b.checkPriority(i.Priority) || !b.checkKeyHashes(i.KeyHashes) {
		return
	}
	if _, ok := b.config.Workspaces[i.Workspace]; ok {
		b.addError("choose another name", "workspace %q exists", i.Workspace)
		return
	}
	if _, ok := b.config.Owners[i.Owner]; !ok {
		b.addError("add the owner first", "owner %q does not exist", i.Owner)
		return
	}
	if !b.mayChange(i.Owner) {
		return
	}
	b.config.Workspaces[i.Workspace] = WorkspaceConfig{Owner: i.Owner, KeyHashes: i.KeyHashes, Priority: i.Priority}
	b.addChange("", "added for owner "+string(i.Owner), "workspace %s", i.Workspace)
}

// findWorkspace returns a workspace and reports whether it exists and the actor may
// change it.
func (b *planBuilder) findWorkspace(name nutmegid.Workspace) (WorkspaceConfig, bool) {
	w, ok := b.config.Workspaces[name]
	if !ok {
		b.addError("name an existing workspace", "workspace %q does not exist", name)
		return w, false
	}
	return w, b.mayChange(w.Owner)
}

func changeWorkspace(b *planBuilder, i Intent) {
	w, ok := b.findWorkspace(i.Workspace)
	if !ok || !b.checkPriority(i.Priority) || !b.checkKeyHashes(i.KeyHashes) {
		return
	}
	if i.Priority != "" {
		b.addChange(string(w.Priority), string(i.Priority), "priority of workspace %s", i.Workspace)
		w.Priority = i.Priority
	}
	if len(i.KeyHashes) > 0 {
		b.addChange(fmt.Sprintf("%d keys", len(w.KeyHashes)), fmt.Sprintf("%d keys", len(i.KeyHashes)), "keys of workspace %s", i.Workspace)
		w.KeyHashes = i.KeyHashes
	}
	b.config.Workspaces[i.Workspace] = w
}

// moveWorkspace changes the owner who pays for a workspace's future requests. An
// operator of the receiving owner has to confirm the plan.
func moveWorkspace(b *planBuilder, i Intent) {
	w, ok := b.findWorkspace(i.Workspace)
	if !ok {
		return
	}
	if _, ok := b.config.Owners[i.Owner]; !ok {
		b.addError("add the owner first", "owner %q does not exist", i.Owner)
		return
	}
	if w.Owner == i.Owner {
		b.addError("name another owner", "workspace %q belongs to %q already", i.Workspace, i.Owner)
		return
	}
	state, err := b.fleet.Budget(b.ctx, nutmegid.WorkspaceBudget(i.Workspace))
	if err != nil {
		b.addError("try again once the store answers", "budget of workspace %q could not be read: %v", i.Workspace, err)
		return
	}
	if b.confirmOwner != "" && b.confirmOwner != i.Owner {
		b.addError("make a plan for each receiving owner", "the plan moves workspaces to %q and %q", b.confirmOwner, i.Owner)
		return
	}
	b.confirmOwner = i.Owner
	b.addChange(string(w.Owner), string(i.Owner), "owner of workspace %s", i.Workspace)
	b.addAffected(w.Owner, "no longer pays for workspace %s; requests accepted before stay on its bill", i.Workspace)
	b.addAffected(i.Owner, "pays for workspace %s, which has %d tokens left", i.Workspace, state.Prepaid-state.Spent)
	w.Owner = i.Owner
	b.config.Workspaces[i.Workspace] = w
}

// closeWorkspace refuses or allows new requests of a workspace, depending on the
// kind of the intent.
func closeWorkspace(b *planBuilder, i Intent) {
	w, ok := b.findWorkspace(i.Workspace)
	if !ok {
		return
	}
	closed := i.Kind == IntentCloseWorkspace
	if w.Closed == closed {
		b.addError("nothing is to be done", "workspace %q is %s already", i.Workspace, workspaceState(closed))
		return
	}
	w.Closed = closed
	b.config.Workspaces[i.Workspace] = w
	b.addChange(workspaceState(!closed), workspaceState(closed), "workspace %s", i.Workspace)
	if closed {
		b.addWarning("new requests of workspace %q are refused; %d requests in progress at this instance end first", i.Workspace, b.fleet.InFlight())
	}
}

func workspaceState(closed bool) string {
	if closed {
		return "closed"
	}
	return "open"
}

func removeWorkspace(b *planBuilder, i Intent) {
	w, ok := b.findWorkspace(i.Workspace)
	if !ok {
		return
	}
	delete(b.config.Workspaces, i.Workspace)
	b.addChange("owner "+string(w.Owner), "removed", "workspace %s", i.Workspace)
	b.addAffected(w.Owner, "workspace %s is removed; its bill stays", i.Workspace)
}

func addOperator(b *planBuilder, i Intent) {
	if !b.checkName("operator", i.Operator) || !b.mayChange(i.Owner) {
		return
	}
	if _, ok := b.config.Operators[i.Operator]; ok {
		b.addError("choose another name", "operator %q exists", i.Operator)
		return
	}
	b.setOperator(i, OperatorConfig{Owner: i.Owner})
}

func changeOperator(b *planBuilder, i Intent) {
	o, ok := b.config.Operators[i.Operator]
	if !ok {
		b.addError("name an existing operator", "operator %q does not exist", i.Operator)
		return
	}
	if b.mayChange(o.Owner) {
		b.setOperator(i, o)
	}
}

// setOperator stores o with the role and key of the intent, where given.
func (b *planBuilder) setOperator(i Intent, o OperatorConfig) {
	if i.Role != "" && i.Role != RoleReader && i.Role != RoleOperator {
		b.addError(fmt.Sprintf("use %s or %s", RoleReader, RoleOperator), "role %q is unknown", i.Role)
		return
	}
	if len(i.KeyHashes) > 1 {
		b.addError("give the hash of one key", "%d key hashes given", len(i.KeyHashes))
		return
	}
	if !b.checkKeyHashes(i.KeyHashes) {
		return
	}
	before := string(o.Role)
	if i.Role != "" {
		o.Role = i.Role
	}
	if len(i.KeyHashes) == 1 {
		o.KeyHash = i.KeyHashes[0]
	}
	b.config.Operators[i.Operator] = o
	b.addChange(before, fmt.Sprintf("%s of owner %q", o.Role, o.Owner), "operator %s", i.Operator)
}

func removeOperator(b *planBuilder, i Intent) {
	o, ok := b.config.Operators[i.Operator]
	if !ok {
		b.addError("name an existing operator", "operator %q does not exist", i.Operator)
		return
	}
	if !b.mayChange(o.Owner) {
		return
	}
	delete(b.config.Operators, i.Operator)
	b.addChange(string(o.Role), "removed", "operator %s", i.Operator)
}

// rollBack restores the content of an earlier revision in a new revision. Changes
// of budgets and orders to engines are not undone.
func rollBack(b *planBuilder, i Intent) {
	past, err := b.configAt(b.ctx, i.Revision)
	if err != nil {
		b.addError("choose a revision that history shows", "revision %d could not be read: %v", i.Revision, err)
		return
	}
	if !b.mayChangeFleet() {
		return
	}
	segments := b.config.segments
	b.config = past.clone()
	b.config.segments = segments
	b.addChange(fmt.Sprintf("revision %d", b.before.Revision), fmt.Sprintf("content of revision %d", i.Revision), "configuration")
	b.addAffectedOwners("the configuration of revision %d comes back; budgets stay as they are", i.Revision)
}
