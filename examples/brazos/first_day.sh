#!/usr/bin/env bash
# First day of Brazos: owner, workspaces with budgets, routes with their repeat
# rules, 12 shop workers and 3 order desks, in one plan.
# Needs nutmegctl in PATH; NUTMEGWIND_KEY holds the operator's key.
set -euo pipefail
domains=(waco_a waco_b temple_c)
intents=(add_owner owner=brazos add_budget budget=owner/brazos tokens=60000000)
workspace() { # NAME TOKENS PRIORITY
	intents+=(add_workspace "workspace=$1" owner=brazos "priority=$3" "key=key-of-$1"
		add_budget "budget=workspace/$1" "tokens=$2")
}
workspace build_sheets 20000000 batch
workspace rework_plans 12000000 batch
workspace line_leads 8000000 steady
workspace lot_clerks 4000000 steady
workspace inspection_notes 4000000 check
workspace tube_quality 3000000 check
workspace dock_waco 2000000 steady
workspace dock_temple 2000000 steady
workspace mainframe_bridge 2000000 steady
workspace shipping 1000000 steady
intents+=(add_route route=stock rule=repeatable priority=look_up
	add_route route=releases rule=protected priority=check
	add_model model=shop)
for n in $(seq 1 12); do
	intents+=("{\"kind\":\"add_upstream\",\"upstreams\":[\"shop-$n\"],\"upstream\":{\"kind\":\"engine\",\"url\":\"http://127.0.0.1:$((17100 + n))\",\"failure_domain\":\"${domains[n % 3]}\",\"models\":[\"shop\"]}}")
done
for n in 1 2 3; do
	intents+=("{\"kind\":\"add_upstream\",\"upstreams\":[\"desk-$n\"],\"upstream\":{\"kind\":\"service\",\"url\":\"http://127.0.0.1:$((17200 + n))\",\"failure_domain\":\"${domains[n % 3]}\",\"routes\":[\"stock\",\"releases\"]}}")
done
nutmegctl "$@" -yes -reason "first day" intent "${intents[@]}"
