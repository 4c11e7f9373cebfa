"""Entry point of ``python -m auburncart``."""

from auburncart.command.main import main

if __name__ == "__main__":
    main()
