package org.radishpost.lib;

import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.math.BigInteger;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.random.RandomGenerator;

/** A valid JSON document from which tests derive modified ones. */
public record JsonDocument(String text) {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final JsonNodeFactory NODES = JsonNodeFactory.instance;
  private static final int RIGHT_TO_LEFT = 0x202e;
  private static final int LONE_SURROGATE = 0xd800;
  private static final List<JsonNode> UNUSUAL_VALUES =
      List.of(
          NODES.nullNode(),
          NODES.booleanNode(true),
          NODES.numberNode(-1),
          NODES.numberNode(0.5),
          NODES.numberNode(Long.MAX_VALUE),
          NODES.numberNode(BigInteger.TWO.pow(70)),
          NODES.textNode(""),
          NODES.textNode(new String(new int[] {0, RIGHT_TO_LEFT, LONE_SURROGATE}, 0, 3)),
          NODES.textNode("x".repeat(10_000)),
          NODES.textNode("0.0.0.0:0"),
          NODES.arrayNode(),
          NODES.objectNode());

  /** Loads a document from the resources of a class. */
  public static JsonDocument load(Class<?> test, String name) {
    try (InputStream in = test.getResourceAsStream(name)) {
      return new JsonDocument(new String(in.readAllBytes(), StandardCharsets.UTF_8));
    } catch (IOException e) {
      throw new AssertionError(name, e);
    }
  }

  /** Returns the bytes of the document. */
  public byte[] bytes() {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  /** Replaces the first occurrence of a text, which must exist. */
  public JsonDocument replaceFirst(String target, String replacement) {
    int at = text.indexOf(target);
    assertTrue(at >= 0, target);
    return new JsonDocument(
        text.substring(0, at) + replacement + text.substring(at + target.length()));
  }

  /** Adds an unknown member to a random object. */
  public InvalidDocument withUnknownMember(RandomGenerator random) {
    JsonNode root = tree();
    List<Container> containers = new ArrayList<>();
    collectContainers(root, "", containers);
    containers.removeIf(container -> !(container.node() instanceof ObjectNode));
    Container container = containers.get(random.nextInt(containers.size()));
    ((ObjectNode) container.node()).put("unheard", 1);
    return new InvalidDocument(write(root), join(container.path(), "unheard"));
  }

  /** Replaces a random value that is not an object by an object. */
  public InvalidDocument withObjectInsteadOfValue(RandomGenerator random) {
    JsonNode root = tree();
    List<Container> containers = new ArrayList<>();
    collectContainers(root, "", containers);
    containers.removeIf(container -> !(container.node() instanceof ObjectNode));
    Container container = containers.get(random.nextInt(containers.size()));
    ObjectNode object = (ObjectNode) container.node();
    List<String> names = new ArrayList<>();
    object.fieldNames().forEachRemaining(names::add);
    names.removeIf(name -> object.get(name).isObject());
    String name = names.get(random.nextInt(names.size()));
    object.set(name, NODES.objectNode());
    return new InvalidDocument(write(root), join(container.path(), name));
  }

  /** Mutates a random array or object; the result may still be valid. */
  public byte[] withRandomMutation(RandomGenerator random) {
    JsonNode root = tree();
    List<Container> containers = new ArrayList<>();
    collectContainers(root, "", containers);
    JsonNode node = containers.get(random.nextInt(containers.size())).node();
    JsonNode value = UNUSUAL_VALUES.get(random.nextInt(UNUSUAL_VALUES.size()));
    if (node instanceof ArrayNode array) {
      mutateArray(array, value, random);
    } else if (node instanceof ObjectNode object) {
      mutateObject(object, value, random);
    }
    return write(root);
  }

  /** Overwrites random bytes of the document and sometimes truncates it. */
  public byte[] withRandomBytes(RandomGenerator random) {
    byte[] bytes = bytes();
    for (int i = random.nextInt(4); i >= 0; i--) {
      bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
    }
    return random.nextInt(4) == 0 ? Arrays.copyOf(bytes, random.nextInt(bytes.length)) : bytes;
  }

  private static void mutateArray(ArrayNode array, JsonNode value, RandomGenerator random) {
    switch (random.nextInt(3)) {
      case 0 -> array.removeAll();
      case 1 -> array.add(value);
      default -> array.addAll(array.deepCopy());
    }
  }

  private static void mutateObject(ObjectNode object, JsonNode value, RandomGenerator random) {
    List<String> names = new ArrayList<>();
    object.fieldNames().forEachRemaining(names::add);
    String name = names.get(random.nextInt(names.size()));
    switch (random.nextInt(3)) {
      case 0 -> object.remove(name);
      case 1 -> object.set(name.toUpperCase(Locale.ROOT), object.remove(name));
      default -> object.set(name, value);
    }
  }

  private static void collectContainers(JsonNode node, String path, List<Container> containers) {
    if (node.isContainerNode() && !node.isEmpty()) {
      containers.add(new Container(path, node));
    }
    node.properties()
        .forEach(
            member ->
                collectContainers(member.getValue(), join(path, member.getKey()), containers));
    for (int i = 0; node.isArray() && i < node.size(); i++) {
      collectContainers(node.get(i), path + "[" + i + "]", containers);
    }
  }

  private static String join(String path, String name) {
    return path.isEmpty() ? name : path + "." + name;
  }

  private JsonNode tree() {
    try {
      return MAPPER.readTree(text);
    } catch (JsonProcessingException e) {
      throw new AssertionError(e);
    }
  }

  private static byte[] write(JsonNode root) {
    return root.toString().getBytes(StandardCharsets.UTF_8);
  }

  private record Container(String path, JsonNode node) {}

  /** A document with one fault, and the path of that fault. */
  public record InvalidDocument(byte[] bytes, String path) {}
}
