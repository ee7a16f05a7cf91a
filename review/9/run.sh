#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
exec bash "$(dirname "$0")/../lab-2/play.sh" pending "$(dirname "$0")"
