/** The owner's side of a pool: slots, the queue, cold starts, ejection and probes. */
package org.radishpost.pool;
