#!/usr/bin/env bash
# First day of Kaca Amanah: owner, workspaces with budgets, routes with their
# repeat rules, 20 drafter workers and 3 order desks, in one plan.
# Needs nutmegctl in PATH; NUTMEGWIND_KEY holds the operator's key.
set -euo pipefail
domains=(shah_alam ipoh johor_bahru)
intents=(add_owner owner=kaca_amanah add_budget budget=owner/kaca_amanah tokens=40000000)
workspace() { # NAME TOKENS PRIORITY
	intents+=(add_workspace "workspace=$1" owner=kaca_amanah "priority=$3" "key=key-of-$1"
		add_budget "budget=workspace/$1" "tokens=$2")
}
workspace longhouse_plans 12000000 batch
workspace flood_repair 8000000 batch
workspace rack_shah_alam 6000000 steady
workspace rack_ipoh 3000000 steady
workspace rack_johor_bahru 3000000 steady
workspace edge_checks 1500000 check
workspace thickness_checks 1500000 check
workspace surau_desk 800000 steady
workspace village_desk 800000 steady
workspace volunteers 400000 steady
intents+=(add_route route=stock rule=repeatable priority=look_up
	add_route route=pane_orders rule=protected priority=check
	add_model model=drafter)
for n in $(seq 1 20); do
	intents+=("{\"kind\":\"add_upstream\",\"upstreams\":[\"drafter-$n\"],\"upstream\":{\"kind\":\"engine\",\"url\":\"http://127.0.0.1:$((7100 + n))\",\"failure_domain\":\"${domains[n % 3]}\",\"models\":[\"drafter\"]}}")
done
for n in 1 2 3; do
	intents+=("{\"kind\":\"add_upstream\",\"upstreams\":[\"desk-$n\"],\"upstream\":{\"kind\":\"service\",\"url\":\"http://127.0.0.1:$((7200 + n))\",\"failure_domain\":\"${domains[n % 3]}\",\"routes\":[\"stock\",\"pane_orders\"]}}")
done
nutmegctl "$@" -yes -reason "first day" intent "${intents[@]}"
