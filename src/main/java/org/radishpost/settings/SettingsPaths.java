package org.radishpost.settings;

import com.networknt.schema.JsonNodePath;

/** Formats paths into a settings file for fault messages, such as {@code tokens[0].digest}. */
final class SettingsPaths {
  private SettingsPaths() {}

  static String toDottedPath(JsonNodePath path) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < path.getNameCount(); i++) {
      Object element = path.getElement(i);
      if (element instanceof Integer index) {
        text.append('[').append(index).append(']');
      } else {
        text.append(text.isEmpty() ? "" : ".").append(element);
      }
    }
    return text.toString();
  }

  static String join(String parent, String member) {
    return parent.isEmpty() ? member : parent + "." + member;
  }
}
