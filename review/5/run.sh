#!/bin/sh
cd "$(dirname "$0")/../.." && exec target/review/cases 5 review/5
