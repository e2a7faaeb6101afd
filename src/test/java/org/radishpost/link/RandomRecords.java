package org.radishpost.link;

import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.radishpost.lib.Digest;
import org.radishpost.lib.Endpoint;

/** Creates records with random content, and compares records deeply. */
final class RandomRecords {
  private final Random random;

  RandomRecords(long seed) {
    this.random = new Random(seed);
  }

  /** Returns a random value of the type. */
  Object create(Type type) throws ReflectiveOperationException {
    if (type instanceof ParameterizedType generic) {
      return container(generic);
    }
    Class<?> plain = (Class<?>) type;
    if (plain.equals(Digest.class)) {
      return Digest.of(String.valueOf(random.nextLong()));
    }
    if (plain.equals(Endpoint.class)) {
      return new Endpoint("10.1.2." + random.nextInt(256), random.nextInt(65_536));
    }
    if (plain.isSealed()) {
      Class<?>[] subclasses = plain.getPermittedSubclasses();
      return create(subclasses[random.nextInt(subclasses.length)]);
    }
    return plain.isRecord() ? record(plain) : simple(plain);
  }

  private Object container(ParameterizedType generic) throws ReflectiveOperationException {
    Object item = create(generic.getActualTypeArguments()[0]);
    boolean empty = random.nextInt(4) == 0;
    if (generic.getRawType().equals(Optional.class)) {
      return empty ? Optional.empty() : Optional.of(item);
    }
    if (generic.getRawType().equals(Set.class)) {
      return empty ? Set.of() : Set.of(item);
    }
    return empty ? List.of() : List.of(item, create(generic.getActualTypeArguments()[0]));
  }

  private Object record(Class<?> type) throws ReflectiveOperationException {
    RecordComponent[] components = type.getRecordComponents();
    Object[] values = new Object[components.length];
    Class<?>[] types = new Class<?>[components.length];
    for (int i = 0; i < components.length; i++) {
      values[i] = create(components[i].getGenericType());
      types[i] = components[i].getType();
    }
    var constructor = type.getDeclaredConstructor(types);
    constructor.setAccessible(true);
    return constructor.newInstance(values);
  }

  private Object simple(Class<?> type) {
    if (type.equals(byte[].class)) {
      byte[] bytes = new byte[random.nextInt(300)];
      random.nextBytes(bytes);
      return bytes;
    }
    return switch (type.getName()) {
      case "long" -> random.nextLong() >> random.nextInt(64);
      case "int" -> random.nextInt() >> random.nextInt(32);
      case "boolean" -> random.nextBoolean();
      case "java.lang.String" -> "név-" + random.nextInt(1000);
      default -> throw new IllegalArgumentException("cannot create a random value of " + type);
    };
  }

  /**
   * Returns whether two values are equal, with arrays compared by content and lists by their size
   * and first item.
   */
  static boolean deepEquals(Object first, Object second) throws ReflectiveOperationException {
    if (first instanceof byte[] bytes) {
      return Arrays.equals(bytes, (byte[]) second);
    }
    if (first instanceof List<?> list) {
      return list.size() == ((List<?>) second).size()
          && (list.isEmpty() || deepEquals(list.getFirst(), ((List<?>) second).getFirst()));
    }
    if (first instanceof Optional<?> optional && optional.isPresent()) {
      return deepEquals(optional.get(), ((Optional<?>) second).orElseThrow());
    }
    if (!first.getClass().isRecord() || !first.getClass().equals(second.getClass())) {
      return first.equals(second);
    }
    for (RecordComponent component : first.getClass().getRecordComponents()) {
      var accessor = component.getAccessor();
      accessor.setAccessible(true);
      if (!deepEquals(accessor.invoke(first), accessor.invoke(second))) {
        return false;
      }
    }
    return true;
  }
}
