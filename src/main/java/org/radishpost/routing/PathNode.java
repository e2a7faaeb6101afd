package org.radishpost.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** A node in a tree of path segments, with the routes whose path prefix ends at this node. */
final class PathNode {
  private static final char SLASH = '/';

  private final Map<String, PathNode> children = new HashMap<>();
  private final List<RouteEntry> entries = new ArrayList<>();

  void add(RouteEntry entry) {
    entries.add(entry);
  }

  /** Returns the descendant for a path prefix, creating missing nodes. */
  PathNode getOrCreate(String prefix) {
    PathNode node = this;
    int start = 1;
    while (start < prefix.length()) {
      int end = segmentEnd(prefix, start);
      node = node.children.computeIfAbsent(prefix.substring(start, end), name -> new PathNode());
      start = end + 1;
    }
    return node;
  }

  /** Visits the routes of every node along a path, starting with this node. */
  void visit(String path, Consumer<RouteEntry> visitor) {
    PathNode node = this;
    int start = 1;
    while (node != null) {
      node.entries.forEach(visitor);
      if (start >= path.length()) {
        return;
      }
      int end = segmentEnd(path, start);
      node = node.children.get(path.substring(start, end));
      start = end + 1;
    }
  }

  private static int segmentEnd(String path, int start) {
    int end = path.indexOf(SLASH, start);
    return end < 0 ? path.length() : end;
  }
}
