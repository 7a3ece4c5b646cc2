#!/bin/sh
cd "$(dirname "$0")/../../.." && exec python3 review/trials-2/silent/case.py
