#!/bin/sh
cd "$(dirname "$0")/../.." && exec target/review/cases 3 review/3
