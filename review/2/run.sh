#!/bin/sh
cd "$(dirname "$0")/../.." && exec target/review/cases 2 review/2
