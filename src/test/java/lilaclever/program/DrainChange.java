package lilaclever.program;

/**
 * One change of the membership that discovery tells: an endpoint is listed, is draining, or is no longer listed.
 *
 * @param version discovery's own version after this change; agents may count otherwise
 */
record DrainChange(long version, String name, String address, int group, Status status) {
    enum Status {
        ACTIVE("active"),
        LEAVING("leaving"),
        LEFT("left");

        final String text;

        Status(String text) {
            this.text = text;
        }
    }

    /** Where calls may go: one group at one address. */
    record Target(String address, int group) {}

    Target target() {
        return new Target(address, group);
    }

    boolean isActive() {
        return status == Status.ACTIVE;
    }

    /** The entry in the list, as the protocol writes it. */
    String json() {
        return "{\"name\":\"" + name + "\",\"address\":\"" + address + "\",\"zone\":\"z\",\"type\":\"lab\",\"group\":"
                + group + ",\"status\":\"" + status.text + "\",\"weight\":1.0,\"since_ms\":0}";
    }
}
