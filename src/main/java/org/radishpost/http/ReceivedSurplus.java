package org.radishpost.http;

import org.radishpost.lib.Endpoint;

/**
 * A response that no request waited for.
 *
 * @param sender the address that sent it
 * @param moment the moment at which it was read
 */
public record ReceivedSurplus(Endpoint sender, SurplusResponse moment) {}
