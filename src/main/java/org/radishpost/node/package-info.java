/** The VM process: assembles, starts and stops the core and its adapters. */
package org.radishpost.node;
