"""Fault injection: scenarios with faults on real processes of one machine, captures, and audits of them.

`scenario_run`, `fleet_run` and `table_run` play scenarios against a cluster each; `audit` checks the five
rules from captures alone; `network` holds proxied links that fail on command.
"""
