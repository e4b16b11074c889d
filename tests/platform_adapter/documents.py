"""A settings file and a configuration as the platform and an operator write them."""

from __future__ import annotations

SETTINGS = """
Node = "vm-1"
NodeClass = "sidecar"
Ip = "10.1.0.11"
Zone = "zone-a"
Region = "west"
InternalPorts = [7780, 7795]
Seeds = []
BeatIntervalS = 1.5
Bounds = ["RevokeS=5", "RevokeStrict=true", "GraceS=6", "FloorShare=0.7",
  "RetryBudgetRatio=0.2", "BudgetMinRetries=64", "SomethingNew=later",
  "ConfigApplyS=2"]
AppAddr = "10.1.0.11:8363"
Service = "catalogue"
[Zones]
zone-a = "west"
zone-b = "west"
[Listen]
Inbound = "10.1.0.11:8366"
Outbound = "10.1.0.11:8365"
Ready = "10.1.0.11:8369"
Control = "10.1.0.11:8367"
[Platform]
Address = "10.200.1.7:8362"
WritesPerS = 400
"""

CONFIGURATION = {
    "Version": "r7",
    "Routes": {
        "r-issue": {
            "Host": "Shop.Example",
            "PathPrefix": "/issue/",
            "RouteType": "unsafe",
            "TimeoutS": 1.5,
            "TargetLatencyS": 0.8,
            "Priority": 1,
            "Service": "catalogue",
            "MaxAttempts": 2,
            "AuthExempt": False,
        },
        "r-search": {
            "Host": "shop.example",
            "PathPrefix": "/search/",
            "RouteType": "safe",
            "TrafficSplit": [
                {"Service": "catalogue", "Weight": 90},
                {"Service": "deposit", "Weight": 10},
            ],
            "MaxAttempts": 3,
            "AuthExempt": True,
        },
    },
    "Services": {
        "catalogue": {"HealthPath": "/health", "ColdPerS": 12.0},
        "deposit": {"HealthPath": "/health", "ColdPerS": 12.0},
    },
    "Limits": {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 1000,
        "HeaderTimeoutS": 3,
        "IdleTimeoutS": 15,
    },
    "Tenants": {
        "studio": {"ApiKeys": ["k1", "k2"], "Priority": 1, "RatePerS": 51, "Burst": 60},
        "archive": {"ApiKeys": ["k3"], "RatePerS": 0},
    },
}
"""A configuration as an operator writes it to the platform's store."""
