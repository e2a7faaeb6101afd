/** A bounded, fair and deadline-aware queue, and budgets for retries and hedges. */
package org.radishpost.admission;
