package org.radishpost.http;

import org.radishpost.lib.Endpoint;

/**
 * A malformed response.
 *
 * @param sender the address that sent it
 * @param reason what is wrong with it
 */
public record ReceivedMalformed(Endpoint sender, MessageFault reason) {}
