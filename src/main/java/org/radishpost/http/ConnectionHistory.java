package org.radishpost.http;

import io.netty.channel.Channel;
import io.netty.util.AttributeKey;
import java.util.Arrays;
import java.util.Optional;

/**
 * The requests that a connection has carried. It decides whether the connection may carry another
 * one, so that the response to it can be told from late responses to all earlier ones.
 *
 * <p>Used by the thread of the connection only.
 */
final class ConnectionHistory {
  /** Bounds the memory of a connection; one that has carried this many IDs is replaced. */
  static final int MAX_IDS = 1_024;

  private static final AttributeKey<ConnectionHistory> KEY =
      AttributeKey.valueOf("radishpost-connection-history");
  private static final int INITIAL_CAPACITY = 16;

  /** Hash codes of the IDs: two IDs with the same one cost a connection, no more. */
  private int[] idHashes = new int[INITIAL_CAPACITY];

  private int idCount;
  private int requestCount;

  /** Returns the history of a connection. */
  static ConnectionHistory of(Channel channel) {
    ConnectionHistory created = new ConnectionHistory();
    ConnectionHistory existing = channel.attr(KEY).setIfAbsent(created);
    return existing == null ? created : existing;
  }

  /** Returns the number of requests that the connection has carried. */
  int requestCount() {
    return requestCount;
  }

  /**
   * Adds a request, unless the connection has carried the same ID or too many IDs before.
   *
   * @param id the ID that the response will carry; empty if it will carry none
   * @return whether the connection may carry the request
   */
  boolean tryAdd(Optional<String> id) {
    if (id.isPresent() && (idCount >= MAX_IDS || hasCarried(id.get()))) {
      return false;
    }
    id.ifPresent(this::add);
    requestCount++;
    return true;
  }

  /** Returns whether the connection has carried a request with an ID. */
  boolean hasCarried(String id) {
    int hash = id.hashCode();
    for (int i = 0; i < idCount; i++) {
      if (idHashes[i] == hash) {
        return true;
      }
    }
    return false;
  }

  private void add(String id) {
    if (idCount == idHashes.length) {
      idHashes = Arrays.copyOf(idHashes, 2 * idCount);
    }
    idHashes[idCount++] = id.hashCode();
  }
}
