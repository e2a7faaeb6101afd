/** A VM process: assembles the core and its adapters, starts and stops them. */
package org.radishpost.node;
