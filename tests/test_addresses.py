"""Addresses are IP addresses: looking a name up would hold up all requests.

A target that reported a host name stalled its daemon for as long as the name's lookup
took, at each new connection; one with odd characters crashed the exchange.
"""

from __future__ import annotations

import pytest

from bramleyglade_core.model.identifiers import Address


@pytest.mark.parametrize(
    "text",
    [
        "localhost:80",
        "target.example:80",
        "a\0b:80",
        "\udc80:80",
        " 10.0.0.1:80",
        "10.0.0:80",
        "10.0.0.256:80",
        "<broadcast>:80",
        "10.0.0.1:\u0668",
        "10.0.0.1:" + "9" * 5000,
        "10.0.0.1:0",
        "10.0.0.1:65536",
    ],
)
def test_address_without_an_ip_address_or_port_is_refused(text):
    with pytest.raises(ValueError, match=r"host:port|out of range"):
        Address.parse(text)


@pytest.mark.parametrize("text", ["10.0.0.1:80", "::1:7780", "0.0.0.0:1"])
def test_address_is_written_as_it_was_read(text):
    assert str(Address.parse(text)) == text
