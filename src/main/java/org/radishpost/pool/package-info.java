/** Pools of targets at their owners: slots, queues, cold starts, ejection and load probes. */
package org.radishpost.pool;
