package org.radishpost.slots;

/**
 * Identifies a request at a broker.
 *
 * @param link the connection on which it arrived
 * @param id its ID on that connection
 */
record RequestKey(SlotLink link, long id) {}
