package lilaclever.lab.model;

/** A message that will be handed in, drawn ahead: its sender does not wait for earlier ones. */
public record Arrival(long atMicros, int number, int messageClass, int destination, long workMicros) {}
