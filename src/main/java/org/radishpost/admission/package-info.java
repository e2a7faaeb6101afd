/** Bounded, fair and deadline-aware queues, and budgets for retries and hedges. */
package org.radishpost.admission;
