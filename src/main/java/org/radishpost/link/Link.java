package org.radishpost.link;

import org.radishpost.store.VmEntry;
import reactor.core.publisher.Mono;

/** One authenticated connection to a peer; thread-safe. */
interface Link {
  /** Returns the peer. */
  VmEntry peer();

  /** Returns the session, which authenticates calls to and from the peer. */
  MacSession session();

  /** Returns whether this end opened the connection. */
  boolean dialer();

  /** Returns the time at which the connection was opened. */
  long openedNanos();

  /** Returns the heartbeat state of the link. */
  LinkHealth health();

  /** Returns the traffic counter of the peer. */
  TrafficCounter traffic();

  /** Returns whether either end has released the link because it no longer needs it. */
  boolean released();

  /** Returns whether requests sent by this end have no response yet. */
  boolean hasPendingRequests();

  /**
   * Sends a message that expects no response; returns false if the link is closed or released, the
   * send queue is full or the message is too long.
   */
  boolean sendMessage(LinkMessage message);

  /** Sends a request and returns its response, or an error if the connection closes first. */
  Mono<LinkMessage> request(LinkMessage message);

  /** Sends a heartbeat. */
  void sendHeartbeat();

  /** Notifies the peer that this end no longer needs the link, and closes it. */
  void release();

  /** Closes the connection, after writes that are already queued on its event loop. */
  void close();

  /** Completes when the connection is closed. */
  Mono<Void> onClosed();
}
